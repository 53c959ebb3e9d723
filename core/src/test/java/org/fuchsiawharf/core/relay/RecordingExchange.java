package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * Notes what a caller is answered.
 *
 * <p>Confined to the test's thread.
 */
final class RecordingExchange implements CallerExchange {
    /** Every answer: a refusal's kind, an endpoint's status, or how a stream ended. */
    final List<String> answers = new ArrayList<>();

    final List<Refusal> refusals = new ArrayList<>();

    @Override
    public void refuse(Refusal refusal) {
        refusals.add(refusal);
        answers.add(refusal.kind().name());
    }

    @Override
    public void relay(EndpointAnswer answer) {
        answers.add(Integer.toString(answer.getStatus()));
    }

    @Override
    public void finishStream() {
        answers.add("stream");
    }

    @Override
    public void breakOff() {
        answers.add("broken");
    }
}
