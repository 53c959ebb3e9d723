package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * An open call of a stage.
 *
 * <p>Confined to the decision loop.
 */
final class Attempt {
    final AttemptId id;
    final EndpointState state;
    final StageSpec stage;
    final long sentNanos;
    long lastProgressNanos;
    boolean tokenReceived;
    boolean reconnected;
    TimerService.@Nullable Timer timer;

    Attempt(AttemptId id, EndpointState state, StageSpec stage, long sentNanos) {
        this.id = id;
        this.state = state;
        this.stage = stage;
        this.sentNanos = sentNanos;
        this.lastProgressNanos = sentNanos;
    }

    void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
