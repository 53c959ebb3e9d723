package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A fake exchange that records the responses to a caller.
 *
 * <p>Confined to the test's thread.
 */
final class RecordingExchange implements CallerExchange {
    /**
     * The outcome of each response: the kind of a refusal, the status of an endpoint's response, "stream" for a
     * complete stream, or "broken" for an aborted response.
     */
    final List<String> outcomes = new ArrayList<>();

    final List<Refusal> refusals = new ArrayList<>();

    /** Called with each outcome. */
    Consumer<String> onOutcome = outcome -> {};

    @Override
    public void refuse(Refusal refusal) {
        refusals.add(refusal);
        record(refusal.kind().name());
    }

    @Override
    public void relay(EndpointResponse response) {
        record(Integer.toString(response.getStatus()));
    }

    @Override
    public void finishStream() {
        record("stream");
    }

    @Override
    public void abort() {
        record("broken");
    }

    private void record(String outcome) {
        outcomes.add(outcome);
        onOutcome.accept(outcome);
    }
}
