package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * One command of the command line.
 *
 * <p>Implementations hold no state between runs.
 */
public interface Command {
    /** All went well. */
    int OK = 0;
    /** A promise was broken, or the work failed. */
    int FAILED = 1;
    /** The command's words are off. */
    int USAGE = 2;
    /** A settings file has errors. */
    int SETTINGS = 3;
    /** Something outside can't be reached. */
    int UNREACHABLE = 4;

    /**
     * Gets the command's name.
     *
     * @return the name, never null
     */
    String getName();

    /**
     * Gets what the command does, in one line.
     *
     * @return the line, never null
     */
    String getSummary();

    /**
     * Declares the command's options.
     *
     * @param parser where to declare them, not null
     */
    void declare(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options, not null
     * @param out where results go, not null
     * @return the exit code
     */
    int run(OptionSet options, PrintStream out);
}
