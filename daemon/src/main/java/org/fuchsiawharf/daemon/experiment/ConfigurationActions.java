package org.fuchsiawharf.daemon.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawharf.core.config.AuditEntry;
import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.core.config.ConfirmResult;
import org.fuchsiawharf.core.config.Intent;
import org.fuchsiawharf.core.config.Plan;
import org.fuchsiawharf.core.error.WharfException;

/**
 * What operators do to the configuration during an experiment.
 *
 * <p>Stateless and thread-safe.
 */
final class ConfigurationActions {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long POLL_MILLIS = 5;
    private static final long MAX_SPREAD_MILLIS = 30_000;
    private static final int ITEMS = 4;
    private static final int MAX_WEIGHT = 1_000;

    private ConfigurationActions() {}

    /**
     * Confirms a plan and waits until every instance has it in force.
     *
     * @param cluster the cluster, not null
     * @return the time from the first try to confirm until then, in milliseconds
     */
    static double measureSpread(EmbeddedCluster cluster) {
        ConfigService service = cluster.createConfigService();
        long start = System.nanoTime();
        long revision = 0;
        while (revision == 0) {
            revision = tryConfirm(service, "spread", 2);
        }
        long wanted = revision;
        while (!cluster.getInstances().stream().allMatch(instance -> instance.getRevision() >= wanted)) {
            sleep(POLL_MILLIS);
            if ((System.nanoTime() - start) / NANOS_PER_MILLI > MAX_SPREAD_MILLIS) {
                throw new IllegalStateException("revision " + wanted + " is not in force everywhere");
            }
        }
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    /**
     * Lets several operators confirm plans on the same few items at once, and checks the trail afterwards.
     *
     * @param cluster the cluster, not null
     * @param writers the number of operators
     * @param plansEach the plans of each
     * @return plans confirmed and refused, calls for each confirmed one, and whether trail and plans agree (1 or 0)
     */
    static Map<String, Double> race(EmbeddedCluster cluster, int writers, int plansEach) {
        long callsBefore = cluster.getFleet().getPlatform().getStore().getCalls();
        ExecutorService threads = Executors.newFixedThreadPool(writers);
        List<Future<Set<String>>> futures = new ArrayList<>();
        for (int i = 0; i < writers; i++) {
            int writer = i;
            futures.add(threads.submit(() -> confirmMany(cluster.createConfigService(), writer, plansEach)));
        }
        Set<String> confirmed = new HashSet<>();
        for (Future<Set<String>> future : futures) {
            confirmed.addAll(join(future));
        }
        threads.shutdown();
        long calls = cluster.getFleet().getPlatform().getStore().getCalls() - callsBefore;
        List<AuditEntry> trail = cluster.createConfigService().listAudit(Integer.MAX_VALUE);
        Set<String> inTrail = new HashSet<>();
        trail.forEach(entry -> inTrail.add(entry.planId()));
        boolean agrees = inTrail.equals(confirmed) && trail.size() == confirmed.size();
        Map<String, Double> figures = new TreeMap<>();
        figures.put("confirmed", (double) confirmed.size());
        figures.put("conflicts", (double) writers * plansEach - confirmed.size());
        figures.put("callsPerConfirmedPlan", (double) calls / Math.max(1, confirmed.size()));
        figures.put("trailEqualsConfirmed", agrees && ConfigService.isIntact(trail) ? 1.0 : 0.0);
        figures.put("spreadMillis", measureSpread(cluster));
        return figures;
    }

    private static Set<String> confirmMany(ConfigService service, int writer, int plans) {
        SplittableRandom random = new SplittableRandom(writer);
        Set<String> confirmed = new HashSet<>();
        for (int i = 0; i < plans; i++) {
            try {
                Intent intent = weight("raced-" + random.nextInt(ITEMS), 1 + random.nextInt(MAX_WEIGHT));
                Plan plan = service.plan(intent, "writer" + writer, "plan " + i);
                if (confirm(service, plan) > 0) {
                    confirmed.add(plan.id());
                }
            } catch (WharfException e) {
                // The service refused for its rate; the next plan may go through.
                sleep(POLL_MILLIS);
            }
        }
        return confirmed;
    }

    private static long tryConfirm(ConfigService service, String workspace, int weight) {
        try {
            return confirm(service, service.plan(weight(workspace, weight), "experiment", "experiment"));
        } catch (WharfException e) {
            sleep(POLL_MILLIS);
            return 0;
        }
    }

    private static long confirm(ConfigService service, Plan plan) {
        ConfirmResult result = service.confirm(plan.id(), plan.who(), plan.source());
        while (result.status() == ConfirmResult.Status.UNKNOWN || result.status() == ConfirmResult.Status.UNAVAILABLE) {
            sleep(POLL_MILLIS);
            result = service.confirm(plan.id(), plan.who(), plan.source());
        }
        return result.status() == ConfirmResult.Status.CONFIRMED ? result.revision() : 0;
    }

    private static Intent weight(String workspace, int weight) {
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put("name", workspace);
        value.put("weight", weight);
        value.put("maxConcurrent", 10);
        value.put("priority", "low");
        return new Intent(false, Map.of("workspaces/" + workspace, value), null);
    }

    private static Set<String> join(Future<Set<String>> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Set.of();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a writer failed", e.getCause());
        }
    }

    /**
     * Waits.
     *
     * @param millis how long, in milliseconds
     */
    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
