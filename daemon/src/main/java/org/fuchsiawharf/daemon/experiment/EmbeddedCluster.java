package org.fuchsiawharf.daemon.experiment;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.daemon.instance.EntryInstance;
import org.fuchsiawharf.daemon.instance.EntryOptions;
import org.fuchsiawharf.daemon.load.Balancer;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpKeyValueStore;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.http.server.OperatorAuthenticator;
import org.fuchsiawharf.http.server.ServerLimits;
import org.fuchsiawharf.standin.ServiceProfile;
import org.fuchsiawharf.standin.StandinFleet;

/**
 * A deployment in one process: stand-ins, entry instances and a balancer that communicate over loopback.
 *
 * <p>Thread-safe.
 */
public final class EmbeddedCluster implements AutoCloseable {
    /** The bearer token of the operator of the embedded instances. */
    public static final String TOKEN = "embedded-token";

    private static final int CALLER_THREADS = 2;
    private static final long DIRECTORY_INTERVAL_MILLIS = 500;
    private static final long NOT_READY_MILLIS = 600;
    private static final long DRAIN_MILLIS = 20_000;
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long READY_TIMEOUT_MILLIS = 10_000;
    private static final long READY_POLL_MILLIS = 20;

    private final Deployment deployment;
    private final boolean baseline;
    private final long seed;
    private final StandinFleet fleet;
    private final List<EntryInstance> instances = new ArrayList<>();
    private final HttpClient callerClient = new HttpClient("callers", CALLER_THREADS);
    private final Balancer balancer;

    /**
     * Starts a cluster and waits until every instance is ready.
     *
     * @param deployment the deployment to run, not null
     * @param instancesPerZone the number of entry instances in each availability zone, at least 1
     * @param baseline whether the instances use the baseline policies
     * @param seed the seed of all random choices
     */
    public EmbeddedCluster(Deployment deployment, int instancesPerZone, boolean baseline, long seed) {
        this.deployment = deployment;
        this.baseline = baseline;
        this.seed = seed;
        this.fleet = new StandinFleet(
                deployment.standins().zones(), deployment.standins().profiles(), 0, 0, seed);
        for (String zone : deployment.standins().zones()) {
            for (int i = 1; i <= instancesPerZone; i++) {
                instances.add(EntryInstance.start(optionsOf(zone + "-" + i, zone, instances.size())));
            }
        }
        awaitReady();
        this.balancer = new Balancer(callerClient, listTargets());
    }

    /**
     * Gets the fleet of stand-ins.
     *
     * @return the fleet, never null
     */
    public StandinFleet getFleet() {
        return fleet;
    }

    /**
     * Gets the name of a model engine.
     *
     * @param index the index of the engine, from 0
     * @return the name, never null
     */
    public String getEngineName(int index) {
        for (ServiceProfile profile : deployment.standins().profiles()) {
            if (profile.kind() == ServiceProfile.Kind.ENGINE) {
                return profile.service() + "-" + (index + 1);
            }
        }
        throw new IllegalStateException("deployment " + deployment.name() + " has no engines");
    }

    /**
     * Gets the entry instances.
     *
     * @return a copy of the list, never null
     */
    public synchronized List<EntryInstance> getInstances() {
        return List.copyOf(instances);
    }

    /**
     * Gets the callers' HTTP client.
     *
     * @return the client, never null
     */
    public HttpClient getCallerClient() {
        return callerClient;
    }

    /**
     * Gets the balancer.
     *
     * @return the balancer, never null
     */
    public Balancer getBalancer() {
        return balancer;
    }

    /**
     * Creates a service that operators use to change the configuration, connected to the platform's store over HTTP.
     *
     * @return the service, never null
     */
    public ConfigService createConfigService() {
        HttpTarget platform = new HttpTarget("127.0.0.1", fleet.getPlatform().getPort());
        HttpKeyValueStore store = new HttpKeyValueStore(callerClient, platform, STORE_TIMEOUT_MILLIS);
        return new ConfigService(store, deployment.config(), System::currentTimeMillis);
    }

    /**
     * Replaces an instance: starts its successor, then drains and stops the instance.
     *
     * @param index the index of the instance in the list of instances
     */
    public void replaceInstance(int index) {
        EntryInstance predecessor = getInstances().get(index);
        String zone = deployment
                .standins()
                .zones()
                .get(index * deployment.standins().zones().size() / size());
        EntryInstance successor = EntryInstance.start(optionsOf(zone + "-r" + index, zone, index));
        synchronized (this) {
            instances.set(index, successor);
        }
        List<HttpTarget> oldAndNewTargets = new ArrayList<>(listTargets());
        oldAndNewTargets.add(targetOf(predecessor));
        balancer.setTargets(oldAndNewTargets);
        predecessor.stop().join();
        balancer.setTargets(listTargets());
        predecessor.close();
    }

    @Override
    public void close() {
        balancer.close();
        getInstances().forEach(EntryInstance::close);
        fleet.close();
        callerClient.close();
    }

    private synchronized int size() {
        return instances.size();
    }

    private synchronized List<HttpTarget> listTargets() {
        return instances.stream().map(EmbeddedCluster::targetOf).toList();
    }

    private static HttpTarget targetOf(EntryInstance instance) {
        return new HttpTarget("127.0.0.1", instance.getPort());
    }

    private EntryOptions optionsOf(String name, String zone, int index) {
        return new EntryOptions(
                name,
                zone,
                "127.0.0.1",
                0,
                new HttpTarget("127.0.0.1", fleet.getPlatform().getPort()),
                DIRECTORY_INTERVAL_MILLIS,
                deployment.objective(),
                baseline,
                ServerLimits.defaults(),
                new OperatorAuthenticator(List.of(new OperatorAuthenticator.Operator("embedded", TOKEN))),
                NOT_READY_MILLIS,
                DRAIN_MILLIS,
                seed + index,
                deployment.config());
    }

    private void awaitReady() {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        while (!instances.stream().allMatch(EntryInstance::isReady)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "not all entry instances are ready after " + READY_TIMEOUT_MILLIS + " ms");
            }
            try {
                Thread.sleep(READY_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
