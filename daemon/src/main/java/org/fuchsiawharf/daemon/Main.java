package org.fuchsiawharf.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.daemon.cli.AuditCommand;
import org.fuchsiawharf.daemon.cli.CheckSettingsCommand;
import org.fuchsiawharf.daemon.cli.Command;
import org.fuchsiawharf.daemon.cli.ConfigCommand;
import org.fuchsiawharf.daemon.cli.ConfirmCommand;
import org.fuchsiawharf.daemon.cli.DemoCommand;
import org.fuchsiawharf.daemon.cli.EntryCommand;
import org.fuchsiawharf.daemon.cli.ExperimentCommand;
import org.fuchsiawharf.daemon.cli.LoadCommand;
import org.fuchsiawharf.daemon.cli.OverheadCommand;
import org.fuchsiawharf.daemon.cli.PlanCommand;
import org.fuchsiawharf.daemon.cli.StandinCommand;
import org.fuchsiawharf.daemon.cli.StatusCommand;

/**
 * The entry point of the command-line interface.
 *
 * <p>Stateless.
 */
public final class Main {
    private static final List<Command> COMMANDS = List.of(
            new EntryCommand(),
            new StandinCommand(),
            new DemoCommand(),
            new ExperimentCommand(),
            new LoadCommand(),
            new OverheadCommand(),
            new CheckSettingsCommand(),
            new StatusCommand(),
            new PlanCommand(),
            new ConfirmCommand(),
            new ConfigCommand(),
            new AuditCommand());
    private static final String HELP = "help";

    private Main() {}

    /**
     * Runs a command and exits with the command's exit code.
     *
     * @param args the command's name, followed by its options, not null
     */
    public static void main(String[] args) {
        int code = run(args, System.out, System.err);
        System.out.flush();
        System.exit(code);
    }

    /**
     * Runs a command.
     *
     * @param args the command's name, followed by its options, not null
     * @param out the stream for results, not null
     * @param err the stream for error messages, not null
     * @return the exit code
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals(HELP)) {
            printUsage(out);
            return args.length == 0 ? Command.EXIT_USAGE_ERROR : Command.EXIT_SUCCESS;
        }
        for (Command command : COMMANDS) {
            if (command.getName().equals(args[0])) {
                return run(command, Arrays.copyOfRange(args, 1, args.length), out, err);
            }
        }
        err.println("command \"" + args[0] + "\" does not exist; see --help");
        return Command.EXIT_USAGE_ERROR;
    }

    private static int run(Command command, String[] args, PrintStream out, PrintStream err) {
        configureLogging(command, args);
        OptionParser parser = new OptionParser();
        parser.accepts(HELP, "shows this page");
        parser.accepts("verbose", "logs each request; entry always does");
        command.declareOptions(parser);
        try {
            OptionSet options = parser.parse(args);
            if (options.has(HELP)) {
                out.println("fuchsiawharf " + command.getName() + ": " + command.getSummary());
                parser.printHelpOn(out);
                return Command.EXIT_SUCCESS;
            }
            return command.run(options, out);
        } catch (OptionException | ArgumentException e) {
            err.println(e.getMessage());
            return Command.EXIT_USAGE_ERROR;
        } catch (WharfException e) {
            err.println(e.getMessage());
            return e.getCode() == ErrorCode.SETTINGS_INVALID ? Command.EXIT_SETTINGS_ERROR : Command.EXIT_FAILURE;
        } catch (IOException | UncheckedIOException e) {
            err.println(String.valueOf(e.getMessage()));
            return Command.EXIT_UNREACHABLE;
        }
    }

    private static void printUsage(PrintStream out) {
        out.println("usage: fuchsiawharf COMMAND [OPTION ...]");
        for (Command command : COMMANDS) {
            out.printf("  %-15s %s%n", command.getName(), command.getSummary());
        }
        out.println("  COMMAND --help  shows a command's options");
        out.println("exit codes: 0 done, 1 failed or a promise broken, 2 usage, 3 settings, 4 unreachable");
    }

    // Log lines are written to standard error to keep standard output for results.
    private static void configureLogging(Command command, String[] args) {
        LogManager.getLogManager().reset();
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(new JsonLineFormatter());
        handler.setLevel(Level.ALL);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        boolean logsRequests =
                command instanceof EntryCommand || Arrays.asList(args).contains("--verbose");
        Logger.getLogger("org.fuchsiawharf").setLevel(logsRequests ? Level.INFO : Level.WARNING);
    }
}
