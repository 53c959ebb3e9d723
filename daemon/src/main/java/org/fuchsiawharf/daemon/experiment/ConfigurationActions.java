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
 * The configuration changes that operators make during an experiment.
 *
 * <p>Stateless and thread-safe.
 */
final class ConfigurationActions {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long POLL_MILLIS = 5;
    private static final long PROPAGATION_TIMEOUT_MILLIS = 30_000;
    private static final int CONTENDED_ITEMS = 4;
    private static final int MAX_WEIGHT = 1_000;

    private ConfigurationActions() {}

    /**
     * Confirms a plan and waits until every instance has applied it.
     *
     * @param cluster the cluster, not null
     * @return the time from the first attempt to confirm the plan until every instance has applied it, in milliseconds
     */
    static double measurePropagationMillis(EmbeddedCluster cluster) {
        ConfigService service = cluster.createConfigService();
        long startNanos = System.nanoTime();
        long revision = 0;
        while (revision == 0) {
            revision = planAndConfirm(service, "spread", 2);
        }
        long targetRevision = revision;
        while (!cluster.getInstances().stream().allMatch(instance -> instance.getRevision() >= targetRevision)) {
            sleep(POLL_MILLIS);
            if ((System.nanoTime() - startNanos) / NANOS_PER_MILLI > PROPAGATION_TIMEOUT_MILLIS) {
                throw new IllegalStateException(
                        "revision " + targetRevision + " has not been applied by every instance within the timeout");
            }
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Confirms plans of several concurrent operators on the same few items, and then checks the audit trail.
     *
     * @param cluster the cluster, not null
     * @param operators the number of operators
     * @param plansPerOperator the number of plans of each operator
     * @return the numbers of plans confirmed and not confirmed, the store calls for each confirmed plan, whether the
     *     audit trail is intact and lists exactly the confirmed plans (1 or 0), and the time until every instance has
     *     applied a further plan, in milliseconds
     */
    static Map<String, Double> confirmConcurrently(EmbeddedCluster cluster, int operators, int plansPerOperator) {
        long callsBefore = cluster.getFleet().getPlatform().getStore().getCallCount();
        ExecutorService threads = Executors.newFixedThreadPool(operators);
        List<Future<Set<String>>> futures = new ArrayList<>();
        for (int i = 0; i < operators; i++) {
            int operator = i;
            futures.add(threads.submit(() -> confirmPlans(cluster.createConfigService(), operator, plansPerOperator)));
        }
        Set<String> confirmed = new HashSet<>();
        for (Future<Set<String>> future : futures) {
            confirmed.addAll(getResult(future));
        }
        threads.shutdown();
        long storeCalls = cluster.getFleet().getPlatform().getStore().getCallCount() - callsBefore;
        List<AuditEntry> auditTrail = cluster.createConfigService().listAuditEntries(Integer.MAX_VALUE);
        Set<String> auditedPlanIds = new HashSet<>();
        auditTrail.forEach(entry -> auditedPlanIds.add(entry.planId()));
        boolean trailMatches = auditedPlanIds.equals(confirmed) && auditTrail.size() == confirmed.size();
        Map<String, Double> figures = new TreeMap<>();
        figures.put("confirmed", (double) confirmed.size());
        figures.put("conflicts", (double) operators * plansPerOperator - confirmed.size());
        figures.put("callsPerConfirmedPlan", (double) storeCalls / Math.max(1, confirmed.size()));
        figures.put("trailEqualsConfirmed", trailMatches && ConfigService.isIntact(auditTrail) ? 1.0 : 0.0);
        figures.put("spreadMillis", measurePropagationMillis(cluster));
        return figures;
    }

    private static Set<String> confirmPlans(ConfigService service, int operator, int plans) {
        SplittableRandom random = new SplittableRandom(operator);
        Set<String> confirmed = new HashSet<>();
        for (int i = 0; i < plans; i++) {
            try {
                Intent intent =
                        weightIntent("raced-" + random.nextInt(CONTENDED_ITEMS), 1 + random.nextInt(MAX_WEIGHT));
                Plan plan = service.plan(intent, "writer" + operator, "plan " + i);
                if (confirm(service, plan) > 0) {
                    confirmed.add(plan.id());
                }
            } catch (WharfException e) {
                // The service rejected the call because of its rate limit; a later plan may succeed.
                sleep(POLL_MILLIS);
            }
        }
        return confirmed;
    }

    private static long planAndConfirm(ConfigService service, String workspace, int weight) {
        try {
            return confirm(service, service.plan(weightIntent(workspace, weight), "experiment", "experiment"));
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

    private static Intent weightIntent(String workspace, int weight) {
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        value.put("name", workspace);
        value.put("weight", weight);
        value.put("maxConcurrent", 10);
        value.put("priority", "low");
        return new Intent(false, Map.of("workspaces/" + workspace, value), null);
    }

    private static Set<String> getResult(Future<Set<String>> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Set.of();
        } catch (ExecutionException e) {
            throw new IllegalStateException("an operator failed to confirm its plans", e.getCause());
        }
    }

    /**
     * Pauses the current thread; returns early if it is interrupted.
     *
     * @param millis the duration of the pause, in milliseconds
     */
    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
