package org.fuchsiawharf.daemon.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * When each request of a load is sent, fixed before the load begins.
 *
 * <p>The same templates, phases and seed give the same schedule. Immutable and thread-safe.
 *
 * @param requests the requests in the order they are sent
 * @param durationNanos the length of all phases together
 */
public record LoadSchedule(List<Planned> requests, long durationNanos) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Copies the list. */
    public LoadSchedule {
        requests = List.copyOf(requests);
    }

    /**
     * A time of constant rate.
     *
     * @param perSecond requests a second, above 0
     * @param millis its length
     */
    public record Phase(double perSecond, long millis) {}

    /**
     * One request to send.
     *
     * @param atNanos when, from the load's start
     * @param template its kind
     * @param workspace its workspace
     * @param nonce its mark, unique in the load
     * @param dialogue its dialogue, empty if it belongs to none
     */
    public record Planned(long atNanos, RequestTemplate template, String workspace, String nonce, String dialogue) {}

    /**
     * Draws a schedule with random gaps between requests, as independent callers cause.
     *
     * @param templates the kinds of requests, not empty
     * @param phases the phases in order, not empty
     * @param mark what every mark begins with, so that loads of one ledger stay apart, not null
     * @param seed the seed
     * @return the schedule, never null
     */
    public static LoadSchedule of(List<RequestTemplate> templates, List<Phase> phases, String mark, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Planned> requests = new ArrayList<>();
        double start = 0;
        for (Phase phase : phases) {
            double end = start + (double) phase.millis() * NANOS_PER_MILLI;
            double at = start + gap(random, phase);
            while (at < end) {
                requests.add(draw(templates, (long) at, mark + requests.size(), random));
                at += gap(random, phase);
            }
            start = end;
        }
        return new LoadSchedule(requests, (long) start);
    }

    private static double gap(SplittableRandom random, Phase phase) {
        return -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / phase.perSecond();
    }

    private static Planned draw(List<RequestTemplate> templates, long at, String nonce, SplittableRandom random) {
        int total = templates.stream().mapToInt(RequestTemplate::share).sum();
        int drawn = random.nextInt(total);
        int index = 0;
        while (drawn >= templates.get(index).share()) {
            drawn -= templates.get(index).share();
            index++;
        }
        RequestTemplate template = templates.get(index);
        String workspace =
                template.workspaces().get(random.nextInt(template.workspaces().size()));
        String dialogue =
                template.dialogues() == 0 ? "" : workspace + "-dialogue-" + random.nextInt(template.dialogues());
        return new Planned(at, template, workspace, nonce, dialogue);
    }
}
