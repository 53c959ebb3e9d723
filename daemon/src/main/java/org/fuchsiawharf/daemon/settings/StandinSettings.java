package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.standin.ServiceProfile;

/**
 * The settings of a fleet of stand-ins.
 *
 * <p>Immutable and thread-safe.
 *
 * @param zones the availability zones
 * @param platformPort the platform's TCP port, 0 for any free port
 * @param firstPort the first endpoint's TCP port, 0 for any free ports
 * @param seed the seed of random jitter and losses
 * @param profiles the profiles of the services
 */
public record StandinSettings(
        List<String> zones, int platformPort, int firstPort, long seed, List<ServiceProfile> profiles) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_MICROS = 60_000_000;

    /** Copies the lists. */
    public StandinSettings {
        zones = List.copyOf(zones);
        profiles = List.copyOf(profiles);
    }

    /**
     * Reads the settings.
     *
     * @param file the YAML file, not null
     * @return the settings, never null
     * @throws org.fuchsiawharf.core.error.WharfException if the file has errors; the message lists all of them
     */
    public static StandinSettings read(Path file) {
        return SettingsFile.read(file, StandinSettings::of);
    }

    /**
     * Returns a copy of these settings that uses any free ports.
     *
     * @return the changed settings, never null
     */
    public StandinSettings withFreePorts() {
        return new StandinSettings(zones, 0, 0, seed, profiles);
    }

    /**
     * Gets a service's profile.
     *
     * @param service the service's name, not null
     * @return the profile, never null
     * @throws org.fuchsiawharf.core.error.ArgumentException if no service has the name
     */
    public ServiceProfile getProfile(String service) {
        for (ServiceProfile profile : profiles) {
            if (profile.service().equals(service)) {
                return profile;
            }
        }
        throw new org.fuchsiawharf.core.error.ArgumentException("service", service, "a service of the stand-ins");
    }

    private static StandinSettings of(SettingsNode root) {
        List<ServiceProfile> profiles = new ArrayList<>();
        for (SettingsNode node : root.children("services")) {
            ServiceProfile profile = node.build(StandinSettings::toProfile, null);
            node.reportUnknownKeys();
            if (profile != null) {
                profiles.add(profile);
            }
        }
        return new StandinSettings(
                root.texts("zones"),
                (int) root.number("platformPort", 0, MAX_PORT, 0L),
                (int) root.number("firstPort", 0, MAX_PORT, 0L),
                root.number("seed", 0, Long.MAX_VALUE, 1L),
                profiles);
    }

    private static ServiceProfile toProfile(SettingsNode node) {
        ServiceProfile.Kind kind = node.choice("kind", ServiceProfile.Kind.class, ServiceProfile.Kind.POOL);
        ServiceProfile defaults = kind == ServiceProfile.Kind.ENGINE
                ? ServiceProfile.engine("absent", 1)
                : ServiceProfile.pool("absent", 1, 5_000);
        return new ServiceProfile(
                node.name("name"),
                kind,
                (int) node.number("workers", 1, 1_000, null),
                (int) node.number("slots", 1, 1_000, (long) defaults.slots()),
                (int) node.number("maxWaiting", 0, 10_000, (long) defaults.maxWaiting()),
                (int) node.number("baseMicros", 0, MAX_MICROS, (long) defaults.baseMicros()),
                (int) node.number("perCallMicros", 0, MAX_MICROS, (long) defaults.perCallMicros()),
                (int) node.number("prefillMicros", 0, MAX_MICROS, (long) defaults.prefillMicros()),
                (int) node.number("cacheEntries", 0, 100_000, (long) defaults.cacheEntries()));
    }
}
