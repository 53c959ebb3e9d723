package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * A command of the command-line interface.
 *
 * <p>Implementations keep no state between runs.
 */
public interface Command {
    /** The exit code of a successful run. */
    int EXIT_SUCCESS = 0;
    /** The exit code of a failed run or a violated guarantee. */
    int EXIT_FAILURE = 1;
    /** The exit code of an unknown command or invalid arguments. */
    int EXIT_USAGE_ERROR = 2;
    /** The exit code of an invalid settings file. */
    int EXIT_SETTINGS_ERROR = 3;
    /** The exit code of an I/O error, such as an unreachable server. */
    int EXIT_UNREACHABLE = 4;

    /**
     * Gets the command's name.
     *
     * @return the name, never null
     */
    String getName();

    /**
     * Gets a one-line description of the command.
     *
     * @return the description, never null
     */
    String getSummary();

    /**
     * Declares the command's options.
     *
     * @param parser the parser to add the options to, not null
     */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options, not null
     * @param out the stream for results, not null
     * @return the exit code
     */
    int run(OptionSet options, PrintStream out);
}
