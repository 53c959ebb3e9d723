package org.fuchsiawharf.daemon.instance;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.daemon.experiment.Deployment;
import org.fuchsiawharf.daemon.experiment.EmbeddedCluster;
import org.fuchsiawharf.daemon.settings.StandinSettings;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.BodyCollector;
import org.fuchsiawharf.http.client.HttpCall;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.standin.Faults;
import org.fuchsiawharf.standin.Ledger;
import org.fuchsiawharf.standin.ServiceProfile;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Tests an entry instance over HTTP with invalid requests, endpoint faults and disconnecting callers. */
class TestEntryInstance {
    private static final String FEEDBACK = "/v1/pipelines/feedback/requests";
    private static final String CHARGE = "/v1/services/billing/charge";
    private static final HttpString UNKNOWN_HEADER = new HttpString("X-None");
    private static EmbeddedCluster cluster;

    private int nextNonce;

    @BeforeAll
    static void start() {
        List<StageSpec> stages =
                List.of(new StageSpec("encode", "encoder", true, false), new StageSpec("generate", "llm", true, true));
        Pipeline charge = new Pipeline("billing", List.of(new StageSpec("charge", "billing", false, false)));
        ServingConfig config = new ServingConfig(
                1,
                Map.of("feedback", new Pipeline("feedback", stages)),
                Map.of("billing/charge", charge),
                Map.of("learners", new Workspace("learners", 1, 100, Priority.NORMAL)));
        List<ServiceProfile> profiles = List.of(
                ServiceProfile.pool("encoder", 2, 500),
                new ServiceProfile("llm", ServiceProfile.Kind.ENGINE, 2, 16, 32, 1_000, 0, 0, 8),
                ServiceProfile.pool("billing", 1, 500));
        Deployment deployment = new Deployment(
                "test", Objective.ATTAINMENT, config, new StandinSettings(List.of("a"), 0, 0, 1, profiles), List.of());
        cluster = new EmbeddedCluster(deployment, 1, false, 1);
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @AfterEach
    void resetFaultsAndAwaitIdle() throws InterruptedException {
        for (String name : List.of("encoder-1", "encoder-2", "llm-1", "llm-2", "billing-1")) {
            cluster.getFleet().getEndpoint(name).getFaults().setResponseMode(Faults.ResponseMode.NORMAL);
        }
        awaitIdle();
    }

    // -----------------------------------------------------------------------

    @Test
    void returnsCompletePipelineResponse() {
        JsonNode response = post(FEEDBACK, Map.of(), createBody(5)).json();
        assertThat(response.path("outcome").asText(), is("answered"));
        assertThat(response.path("answer").path("tokens").asInt(), is(5));
    }

    @Test
    void streamsTokensWithEventIdsAndFinalEvent() {
        String events = post(FEEDBACK, Map.of(Headers.ACCEPT, WireHeaders.EVENT_STREAM), createBody(3))
                .text();
        for (String id : List.of("id:0", "id:1", "id:2")) {
            assertThat(events, containsString(id));
        }
        assertThat(events, containsString("event:done"));
    }

    @Test
    void rejectsUnknownPipeline() {
        post("/v1/pipelines/none/requests", Map.of(), "{}").assertProblem(404, "unknown_pipeline", "not_run");
    }

    @Test
    void rejectsUnknownServiceCall() {
        post("/v1/services/billing/none", Map.of(), "{}").assertProblem(404, "unknown_service", "not_run");
    }

    @Test
    void rejectsUnknownWorkspace() {
        post(FEEDBACK, Map.of(WireHeaders.WORKSPACE, "none"), "{}").assertProblem(403, "unknown_workspace", "not_run");
    }

    @Test
    void rejectsMalformedJson() {
        post(FEEDBACK, Map.of(), "{\"a\":").assertProblem(400, "malformed_body", "not_run");
        post(FEEDBACK, Map.of(), "{} {}").assertProblem(400, "malformed_body", "not_run");
    }

    @Test
    void rejectsOversizedBody() {
        String large = "\"" + "x".repeat(2 << 20) + "\"";
        // Repeated, since only some responses that are sent before the body is read are lost with the connection.
        for (int i = 0; i < 30; i++) {
            post(FEEDBACK, Map.of(), large).assertProblem(413, "body_too_large", "not_run");
        }
    }

    @Test
    void rejectsMissingInvalidAndPastDeadlines() {
        post(FEEDBACK, Map.of(WireHeaders.DEADLINE_MS, ""), "{}").assertProblem(400, "invalid_deadline", "not_run");
        post(FEEDBACK, Map.of(WireHeaders.DEADLINE_MS, "soon"), "{}").assertProblem(400, "invalid_deadline", "not_run");
        post(FEEDBACK, Map.of(WireHeaders.DEADLINE_MS, "99999999999"), "{}")
                .assertProblem(400, "invalid_deadline", "not_run");
        post(FEEDBACK, Map.of(WireHeaders.DEADLINE_MS, "-1"), "{}").assertProblem(504, "deadline_passed", "not_run");
    }

    @Test
    void rejectsUnknownPriority() {
        post(FEEDBACK, Map.of(WireHeaders.PRIORITY, "urgent"), "{}").assertProblem(400, "invalid_argument", "not_run");
    }

    @Test
    void requiresIdempotencyKeyForNonIdempotentCall() {
        post(CHARGE, Map.of(), "{}").assertProblem(400, "idempotency_key_missing", "not_run");
    }

    @Test
    void rejectsOperatorRequestWithInvalidToken() {
        BodyCollector collector = new BodyCollector();
        cluster.getCallerClient()
                .get(entryTarget(), "/v1/status", Map.of(Headers.AUTHORIZATION, "Bearer wrong"), collector);
        assertThat(collector.getFuture().join().status(), is(401));
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @EnumSource(
            value = Faults.ResponseMode.class,
            names = {"NORMAL"},
            mode = EnumSource.Mode.EXCLUDE)
    void answersIdempotentRequestWhenOneOfTwoEndpointsIsFaulty(Faults.ResponseMode fault) {
        cluster.getFleet().getEndpoint("encoder-1").getFaults().setResponseMode(fault);
        cluster.getFleet().getEndpoint("llm-1").getFaults().setResponseMode(fault);
        for (int i = 0; i < 3; i++) {
            JsonNode response = post(FEEDBACK, Map.of(), createBody(5)).json();
            assertThat(response.toString(), response.path("outcome").asText(), is("answered"));
            assertThat(response.path("answer").path("tokens").asInt(), is(5));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Faults.ResponseMode.class,
            names = {"GARBAGE", "WRONG_ATTEMPT", "NEVER", "CLOSE"})
    void reportsUnknownOutcomeAndRunsOnceWhenNonIdempotentCallHasNoValidResponse(Faults.ResponseMode fault) {
        cluster.getFleet().getEndpoint("billing-1").getFaults().setResponseMode(fault);
        String nonce = createNonce();
        Map<HttpString, String> headers = Map.of(WireHeaders.IDEMPOTENCY_KEY, nonce, WireHeaders.DEADLINE_MS, "600");
        JsonNode problem =
                post(CHARGE, headers, "{\"nonce\":\"" + nonce + "\"}").json();
        assertThat(problem.toString(), problem.path("outcome").asText(), is("unknown"));
        assertThat(countRuns(nonce), is(1L));
    }

    @Test
    void cancelsWorkWhenCallerDisconnects() throws InterruptedException {
        String nonce = createNonce();
        BodyCollector collector = new BodyCollector();
        HttpCall call = cluster.getCallerClient()
                .post(
                        entryTarget(),
                        FEEDBACK,
                        createHeaders(Map.of(WireHeaders.DEADLINE_MS, "60000")),
                        ("{\"nonce\":\"" + nonce + "\",\"tokens\":20000}").getBytes(StandardCharsets.UTF_8),
                        true,
                        collector);
        for (int i = 0; i < 500 && countRuns(nonce) < 2; i++) {
            Thread.sleep(10);
        }
        call.cancel();
        awaitIdle();
        // The engine would need 20 s to generate the remaining tokens.
        assertThat(sumWorkUnits(nonce), is(lessThanOrEqualTo(5_000.0)));
    }

    @Test
    void cancelsWorkWhenCallerDoesNotReadItsStream() throws Exception {
        // Each token contains the nonce, so a long nonce quickly fills all buffers between endpoint and caller.
        String nonce = createNonce() + "x".repeat(20_000);
        String body = "{\"nonce\":\"" + nonce + "\",\"tokens\":20000}";
        String request = "POST " + FEEDBACK + " HTTP/1.1\r\nHost: x\r\nWorkspace: learners\r\nDeadline-Ms: 60000\r\n"
                + "Accept: text/event-stream\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(
                    new InetSocketAddress(entryTarget().host(), entryTarget().port()));
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < 500 && countRuns(nonce) < 2; i++) {
                Thread.sleep(10);
            }
            awaitIdle();
        }
        assertThat(sumWorkUnits(nonce), is(lessThanOrEqualTo(5_000.0)));
    }

    @Test
    void rejectsInvalidRequestsAndServesNextRequest() {
        for (String path : List.of("/", "/v1/pipelines/feedback", "/v1/pipelines//requests", "/v1/status/../x")) {
            Response response = post(path, Map.of(UNKNOWN_HEADER, "\u0001"), "\u0000");
            assertThat(response.status(), either(is(404)).or(is(400)).or(is(405)));
        }
        assertThat(post(FEEDBACK, Map.of(), createBody(2)).status(), is(200));
    }

    // -----------------------------------------------------------------------

    private record Response(int status, String text) {
        JsonNode json() {
            return JsonText.readTree(text.getBytes(StandardCharsets.UTF_8));
        }

        void assertProblem(int expectedStatus, String code, String outcome) {
            assertThat(text, status, is(expectedStatus));
            assertThat(json().path("code").asText(), is(code));
            assertThat(json().path("outcome").asText(), is(outcome));
        }
    }

    private static HttpTarget entryTarget() {
        return new HttpTarget("127.0.0.1", cluster.getInstances().get(0).getPort());
    }

    private static Map<HttpString, String> createHeaders(Map<HttpString, String> overrides) {
        Map<HttpString, String> headers = new HashMap<>();
        headers.put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        headers.put(WireHeaders.WORKSPACE, "learners");
        headers.put(WireHeaders.DEADLINE_MS, "8000");
        headers.putAll(overrides);
        headers.values().removeIf(String::isEmpty);
        return headers;
    }

    private static Response post(String path, Map<HttpString, String> overrides, String body) {
        BodyCollector collector = new BodyCollector();
        cluster.getCallerClient()
                .post(
                        entryTarget(),
                        path,
                        createHeaders(overrides),
                        body.getBytes(StandardCharsets.UTF_8),
                        true,
                        collector);
        BodyCollector.Response response =
                collector.getFuture().orTimeout(30, TimeUnit.SECONDS).join();
        return new Response(response.status(), new String(response.body(), StandardCharsets.UTF_8));
    }

    private String createNonce() {
        return "n" + System.identityHashCode(this) + "-" + nextNonce++;
    }

    private String createBody(int tokens) {
        return "{\"nonce\":\"" + createNonce() + "\",\"tokens\":" + tokens + "}";
    }

    private static long countRuns(String nonce) {
        return cluster.getFleet().getLedger().toPage().runs().stream()
                .filter(run -> run.nonce().equals(nonce))
                .count();
    }

    private static double sumWorkUnits(String nonce) {
        return cluster.getFleet().getLedger().toPage().runs().stream()
                .filter(run -> run.nonce().equals(nonce))
                .mapToDouble(Ledger.View::units)
                .sum();
    }

    private static void awaitIdle() throws InterruptedException {
        String status = "";
        for (int i = 0; i < 500; i++) {
            BodyCollector collector = new BodyCollector();
            cluster.getCallerClient()
                    .get(
                            entryTarget(),
                            "/v1/status",
                            Map.of(Headers.AUTHORIZATION, "Bearer " + EmbeddedCluster.TOKEN),
                            collector);
            status = new String(
                    collector.getFuture().orTimeout(30, TimeUnit.SECONDS).join().body(), StandardCharsets.UTF_8);
            if (status.contains("\"active\":0,\"queued\":0") && !status.matches(".*\"inFlight\":[1-9].*")) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the instance still has active, queued or in-flight requests: " + status);
    }
}
