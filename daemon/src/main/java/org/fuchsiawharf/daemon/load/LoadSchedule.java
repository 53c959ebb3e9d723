package org.fuchsiawharf.daemon.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The requests of a load and their start times, drawn before the load begins.
 *
 * <p>The same templates, phases and seed give the same schedule. Immutable and thread-safe.
 *
 * @param requests the requests in order of their start times
 * @param durationNanos the total duration of all phases, in nanoseconds
 */
public record LoadSchedule(List<Planned> requests, long durationNanos) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Creates a schedule with a copy of the list. */
    public LoadSchedule {
        requests = List.copyOf(requests);
    }

    /**
     * A period of constant request rate.
     *
     * @param perSecond the rate in requests per second, above 0
     * @param millis the duration, in milliseconds
     */
    public record Phase(double perSecond, long millis) {}

    /**
     * A request of the schedule.
     *
     * @param atNanos the planned start, in nanoseconds from the start of the load
     * @param template the template of the request
     * @param workspace the workspace of the request
     * @param nonce the identifier of the request, unique within the load
     * @param dialogue the dialogue of the request, empty if it has none
     */
    public record Planned(long atNanos, RequestTemplate template, String workspace, String nonce, String dialogue) {}

    /**
     * Draws a schedule with exponentially distributed intervals between requests, as independent callers cause.
     *
     * @param templates the templates of the requests, not empty
     * @param phases the phases in order, not empty
     * @param noncePrefix the prefix of every nonce, which separates the loads in a ledger, not null
     * @param seed the seed of the random generator
     * @return the schedule, never null
     */
    public static LoadSchedule of(List<RequestTemplate> templates, List<Phase> phases, String noncePrefix, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Planned> requests = new ArrayList<>();
        double phaseStartNanos = 0;
        for (Phase phase : phases) {
            double phaseEndNanos = phaseStartNanos + (double) phase.millis() * NANOS_PER_MILLI;
            double atNanos = phaseStartNanos + drawIntervalNanos(random, phase);
            while (atNanos < phaseEndNanos) {
                requests.add(drawRequest(templates, (long) atNanos, noncePrefix + requests.size(), random));
                atNanos += drawIntervalNanos(random, phase);
            }
            phaseStartNanos = phaseEndNanos;
        }
        return new LoadSchedule(requests, (long) phaseStartNanos);
    }

    private static double drawIntervalNanos(SplittableRandom random, Phase phase) {
        return -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / phase.perSecond();
    }

    private static Planned drawRequest(
            List<RequestTemplate> templates, long atNanos, String nonce, SplittableRandom random) {
        int totalShare = templates.stream().mapToInt(RequestTemplate::share).sum();
        int remainder = random.nextInt(totalShare);
        int index = 0;
        while (remainder >= templates.get(index).share()) {
            remainder -= templates.get(index).share();
            index++;
        }
        RequestTemplate template = templates.get(index);
        String workspace =
                template.workspaces().get(random.nextInt(template.workspaces().size()));
        String dialogue =
                template.dialogues() == 0 ? "" : workspace + "-dialogue-" + random.nextInt(template.dialogues());
        return new Planned(atNanos, template, workspace, nonce, dialogue);
    }
}
