package org.fuchsiawharf.daemon.process;

import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.daemon.load.Balancer;
import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;
import org.fuchsiawharf.daemon.load.LoadRunner;
import org.fuchsiawharf.daemon.load.LoadSchedule;
import org.fuchsiawharf.daemon.load.LoadSummary;
import org.fuchsiawharf.daemon.load.RequestTemplate;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.standin.ServiceProfile;
import org.fuchsiawharf.standin.StandinFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests entry instances in their own processes, with fault-injecting proxies in front of endpoints and platform.
 *
 * <p>Compares the results that callers observe with the endpoints' ledger.
 */
class TestRealProcesses {
    private static final String CONFIGURATION =
            """
            pipelines:
              - name: feedback
                stages:
                  - {name: encode, service: encoder}
                  - {name: generate, service: llm, streaming: true}
              - name: assessment
                stages:
                  - {name: encode, service: encoder}
                  - {name: verdict, service: llm, streaming: true, repeatable: false}
            services:
              - name: billing
                calls:
                  - {name: charge, repeatable: false}
            workspaces:
              - {name: learners}
            """;
    private static final List<RequestTemplate> TEMPLATES = List.of(
            template("/v1/pipelines/feedback/requests", 20, false, false),
            template("/v1/pipelines/feedback/requests", 20, true, false),
            template("/v1/pipelines/assessment/requests", 20, false, true),
            template("/v1/services/billing/charge", 0, false, true));
    private static final Set<String> NON_REPEATABLE_STAGES = Set.of("verdict", "charge");
    private static final double REQUESTS_PER_SECOND = 25;

    @TempDir
    private Path folder = Path.of(".");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final List<EntryProcess> entryProcesses = new ArrayList<>();
    private final List<HttpTarget> targets = new ArrayList<>();
    private final HttpClient callerClient = new HttpClient("callers", 2);
    private final ExecutorService faultExecutor = Executors.newSingleThreadExecutor();
    private final StandinFleet fleet = new StandinFleet(
            List.of("a", "b"),
            List.of(
                    ServiceProfile.pool("encoder", 2, 2_000),
                    new ServiceProfile("llm", ServiceProfile.Kind.ENGINE, 3, 16, 32, 4_000, 100, 1_000, 8),
                    ServiceProfile.pool("billing", 2, 2_000)),
            0,
            0,
            1);

    private static RequestTemplate template(String path, int tokens, boolean stream, boolean keyed) {
        return new RequestTemplate(path, List.of("learners"), 1, 4_000, tokens, stream, keyed, 0);
    }

    @BeforeEach
    void start() throws Exception {
        List<Endpoint> proxiedEndpoints = new ArrayList<>();
        for (Endpoint endpoint : fleet.getEndpoints()) {
            FaultProxy proxy = new FaultProxy(group, endpoint.port());
            proxies.put(endpoint.name(), proxy);
            proxiedEndpoints.add(
                    new Endpoint(endpoint.name(), endpoint.service(), endpoint.zone(), "127.0.0.1", proxy.getPort()));
        }
        fleet.getPlatform().setDirectory(proxiedEndpoints, List.of());
        FaultProxy platformProxy = new FaultProxy(group, fleet.getPlatform().getPort());
        proxies.put("platform", platformProxy);
        for (int i = 1; i <= 3; i++) {
            Path instanceFolder = Files.createDirectory(folder.resolve("entry" + i));
            entryProcesses.add(new EntryProcess(
                    instanceFolder, "entry-" + i, i == 1 ? "a" : "b", platformProxy.getPort(), CONFIGURATION));
        }
        for (EntryProcess entry : entryProcesses) {
            targets.add(entry.awaitTarget());
        }
        for (HttpTarget target : targets) {
            awaitReady(target);
        }
    }

    // The balancer assumes that an instance is ready until its first check. Without this wait, requests sent while an
    // instance still responds to the check with 503 are lost for want of a ready instance.
    private static void awaitReady(HttpTarget target) throws Exception {
        URL readiness = new URI("http://" + target.host() + ":" + target.port() + "/health/ready").toURL();
        for (int i = 0; i < 300; i++) {
            if (((HttpURLConnection) readiness.openConnection()).getResponseCode() == HttpURLConnection.HTTP_OK) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new AssertionError("instance at " + target.host() + ":" + target.port() + " is not ready after 15 s");
    }

    @AfterEach
    void stop() {
        entryProcesses.forEach(EntryProcess::close);
        proxies.values().forEach(FaultProxy::close);
        faultExecutor.shutdownNow();
        callerClient.close();
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @EnumSource(FaultProxy.Mode.class)
    void violatesNoGuaranteeWhenConnectionsToEngineAreFaulty(FaultProxy.Mode mode) throws Exception {
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(600);
            proxy("llm-1").setMode(mode);
            TimeUnit.MILLISECONDS.sleep(1_200);
            proxy("llm-1").setMode(FaultProxy.Mode.PASS);
            return null;
        });
        assertNoViolations(records);
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultProxy.Mode.class,
            names = {"CUT_ANSWERS", "HALF_OPEN", "RESET"})
    void violatesNoGuaranteeWhenConnectionsToPlatformAreFaulty(FaultProxy.Mode mode) throws Exception {
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(600);
            proxy("platform").setMode(mode);
            TimeUnit.MILLISECONDS.sleep(1_500);
            proxy("platform").setMode(FaultProxy.Mode.PASS);
            return null;
        });
        assertNoViolations(records);
    }

    @Test
    void servesFromOwnZoneWhenOtherZoneAndPlatformAreUnreachable() throws Exception {
        targets.subList(1, targets.size()).clear();
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(500);
            setModeOfZoneBAndPlatform(FaultProxy.Mode.HALF_OPEN);
            TimeUnit.MILLISECONDS.sleep(2_500);
            setModeOfZoneBAndPlatform(FaultProxy.Mode.PASS);
            return null;
        });
        assertNoViolations(records);
        long unansweredIdempotentRequests = records.stream()
                .filter(r -> !r.planned().template().keyed())
                .filter(r -> r.result() != Result.ANSWERED)
                .count();
        assertThat(summarize(records).toString(), unansweredIdempotentRequests, is(0L));
    }

    private void setModeOfZoneBAndPlatform(FaultProxy.Mode mode) {
        proxy("platform").setMode(mode);
        for (Endpoint endpoint : fleet.getEndpoints()) {
            if (endpoint.zone().equals("b")) {
                proxy(endpoint.name()).setMode(mode);
            }
        }
    }

    @Test
    void runsNoNonRepeatableStageTwiceWhenInstanceIsKilled() throws Exception {
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(1_000);
            entryProcesses.get(0).kill();
            return null;
        });
        LoadSummary summary = summarize(records);
        // Requests on the killed instance may be lost or their streams cut; no other violation is allowed.
        assertThat(summary.toString(), summary.doubled() + summary.crossed() + summary.falseNotRun(), is(0));
        assertThat(summary.answered(), is(greaterThan(0)));
    }

    @Test
    void runsNoNonRepeatableStageTwiceWhenInstanceIsSuspendedAndResumed() throws Exception {
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(800);
            entryProcesses.get(1).signal("STOP");
            TimeUnit.MILLISECONDS.sleep(1_500);
            entryProcesses.get(1).signal("CONT");
            return null;
        });
        LoadSummary summary = summarize(records);
        assertThat(summary.toString(), summary.doubled() + summary.crossed() + summary.falseNotRun(), is(0));
    }

    @Test
    void completesRequestsInFlightWhenInstanceIsTerminated() throws Exception {
        List<CallerRecord> records = runLoadDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(800);
            entryProcesses.get(2).terminate();
            return null;
        });
        assertNoViolations(records);
        assertThat(entryProcesses.get(2).awaitExit(), is(true));
    }

    // -----------------------------------------------------------------------

    private FaultProxy proxy(String name) {
        return Objects.requireNonNull(proxies.get(name));
    }

    private List<CallerRecord> runLoadDuring(Callable<Object> fault) throws Exception {
        try (Balancer balancer = new Balancer(callerClient, targets)) {
            for (int i = 0; i < 300 && balancer.getReadyCount() < targets.size(); i++) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            TimeUnit.MILLISECONDS.sleep(500);
            Future<Object> faultFuture = faultExecutor.submit(fault);
            LoadRunner runner = new LoadRunner(callerClient, balancer, (sent, ended, attained) -> {});
            List<CallerRecord> records = runner.run(
                    LoadSchedule.of(TEMPLATES, List.of(new LoadSchedule.Phase(REQUESTS_PER_SECOND, 3_000)), "p-", 1));
            faultFuture.get(30, TimeUnit.SECONDS);
            return records;
        }
    }

    private LoadSummary summarize(List<CallerRecord> records) {
        return LoadSummary.of(records, fleet.getLedger().toPage().runs(), NON_REPEATABLE_STAGES);
    }

    private void assertNoViolations(List<CallerRecord> records) {
        LoadSummary summary = summarize(records);
        assertThat(summary.toString(), summary.isSafe(), is(true));
        long answered =
                records.stream().filter(r -> r.result() == Result.ANSWERED).count();
        assertThat(answered, is(greaterThan(0L)));
    }
}
