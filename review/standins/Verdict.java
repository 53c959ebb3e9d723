package review;

import java.util.concurrent.Callable;

/** Ends a driver with the exit code that run.sh expects; a failure of the driver itself is not taken for a verdict. */
public final class Verdict {
    public static final int HELD = 0;
    /** Not 1, with which the JVM ends when it cannot start the driver. */
    public static final int BROKEN = 10;

    public static final int COULD_NOT_RUN = 2;

    private Verdict() {}

    public static void exitWith(Callable<Integer> check) {
        int code;
        try {
            code = check.call();
        } catch (Throwable e) {
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }
}
