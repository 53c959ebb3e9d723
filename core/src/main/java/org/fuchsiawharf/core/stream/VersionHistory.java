package org.fuchsiawharf.core.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The software versions of each service from which callers may still have streams.
 *
 * <p>The versions are kept in the store, so that instances that start after a version has left know of it. A version
 * that is listed no more is removed once no stream of it can be taken up. Confined to the decision loop.
 */
public final class VersionHistory {
    /** Time for which streams of a version may be taken up after the version has left. */
    private static final long RETENTION_NANOS = 60_000_000_000L;
    /** Mean interval of the checks; it is random, so that one instance usually writes a change for all. */
    private static final long CHECK_INTERVAL_NANOS = 1_000_000_000L;

    private final TimerService timers;
    private final SplittableRandom random;
    private final Map<String, ServiceVersions> services = new HashMap<>();
    private OriginStore store = OriginStore.UNAVAILABLE;
    private Runnable onChanged = () -> {};

    private static final class ServiceVersions {
        private final Map<String, Long> seenNanos = new HashMap<>();
        private Set<String> stored = Set.of();
        private long revision;
        private boolean storedKnown;

        private void forgetStored() {
            stored = Set.of();
            revision = 0;
            storedKnown = false;
        }
    }

    /**
     * Creates a history without versions; {@link #start} starts it.
     *
     * @param timers the timer service, not null
     * @param random spreads the checks of the instances, not null
     */
    public VersionHistory(TimerService timers, SplittableRandom random) {
        this.timers = timers;
        this.random = random;
    }

    void setStore(OriginStore newStore) {
        store = newStore;
    }

    /** Starts writing changes to the store; called once. */
    public void start() {
        timers.schedule(timers.now() + 1 + random.nextLong(2 * CHECK_INTERVAL_NANOS), this::check);
    }

    /**
     * Sets the listener for services that have more or fewer versions than before.
     *
     * @param listener called after a change, not null
     */
    public void setListener(Runnable listener) {
        onChanged = listener;
    }

    // -----------------------------------------------------------------------

    /**
     * Applies the directory's listing.
     *
     * @param endpoints all known endpoints, not null
     */
    public void onListed(List<EndpointStatus> endpoints) {
        long now = timers.now();
        endpoints.forEach(
                status -> getOrCreate(status.endpoint().service()).seenNanos.put(status.version(), now));
        onChanged.run();
    }

    /**
     * Applies the versions of a service in the store.
     *
     * @param service the name of the service, not null
     * @param versions the versions, not null
     * @param revision the revision of the item
     */
    public void onStored(String service, Set<String> versions, long revision) {
        ServiceVersions known = getOrCreate(service);
        versions.forEach(version -> known.seenNanos.putIfAbsent(version, timers.now()));
        known.stored = Set.copyOf(versions);
        known.revision = revision;
        known.storedKnown = true;
        onChanged.run();
    }

    /**
     * Applies the removal of the versions of a service from the store; they are written again if callers may still have
     * streams of them.
     *
     * @param service the name of the service, not null
     */
    public void onRemoved(String service) {
        ServiceVersions known = services.get(service);
        if (known != null) {
            known.forgetStored();
            onChanged.run();
        }
    }

    /** Forgets what the store holds, before it is listed anew because it has returned from an older copy. */
    void onStoreRestored() {
        services.values().forEach(ServiceVersions::forgetStored);
    }

    /**
     * Gets the only version of a service from which callers may have streams.
     *
     * @param service the name of the service, not null
     * @return the version, null if there are several or the store's versions are not known
     */
    public @Nullable String getSoleVersion(String service) {
        ServiceVersions known = services.get(service);
        if (known == null || !known.storedKnown || known.seenNanos.size() != 1) {
            return null;
        }
        return known.seenNanos.keySet().iterator().next();
    }

    // -----------------------------------------------------------------------

    private ServiceVersions getOrCreate(String service) {
        return services.computeIfAbsent(service, s -> new ServiceVersions());
    }

    private void check() {
        start();
        long now = timers.now();
        services.forEach((service, known) -> {
            known.seenNanos.values().removeIf(seenNanos -> now - seenNanos > RETENTION_NANOS);
            Set<String> versions = new TreeSet<>(known.seenNanos.keySet());
            if (!Objects.equals(versions, known.stored)) {
                store.writeVersions(service, versions, known.revision);
            }
        });
        onChanged.run();
    }
}
