package org.fuchsiawharf.core.stream;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Keeps the origins of streams and the versions of services beyond the life of the instances.
 *
 * <p>The methods and their callbacks are called on the decision loop.
 */
public interface OriginStore {
    /** A store that is never available. */
    OriginStore UNAVAILABLE = new OriginStore() {
        @Override
        public void writeOrigins(Map<String, StreamOrigin> origins, Consumer<Boolean> callback) {
            callback.accept(false);
        }

        @Override
        public void readOrigins(Consumer<@Nullable Map<String, StreamOrigin>> callback) {
            callback.accept(null);
        }

        @Override
        public void writeVersions(String service, Set<String> versions, long expectedRevision) {}
    };

    /**
     * Writes the origins of the streams of this instance, which replace those that it wrote before.
     *
     * @param origins the origins by the id of the request that began the stream, not null
     * @param callback receives whether the origins are stored, not null
     */
    void writeOrigins(Map<String, StreamOrigin> origins, Consumer<Boolean> callback);

    /**
     * Reads the origins that all instances have written.
     *
     * <p>The callback is called once this instance knows the endpoints and the versions that the store held at the time of
     * the read, so that its knowledge is then no older than the call.
     *
     * @param callback receives the origins by the id of the request that began the stream, null if the store or what it
     *     held is unavailable
     */
    void readOrigins(Consumer<@Nullable Map<String, StreamOrigin>> callback);

    /**
     * Writes the versions of a service if they have not changed since the given revision; the instances learn of it
     * like of any change in the store.
     *
     * @param service the name of the service, not null
     * @param versions the versions, not null
     * @param expectedRevision the revision at which this instance knows the versions, 0 if there are none
     */
    void writeVersions(String service, Set<String> versions, long expectedRevision);
}
