package org.fuchsiawharf.relay.instance;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;

/**
 * Measures the processor time of this process and the time that it spends on garbage collection.
 *
 * <p>Confined to the decision loop.
 */
final class ProcessUsage {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    private final List<GarbageCollectorMXBean> collectors = ManagementFactory.getGarbageCollectorMXBeans();
    private long lastCpuMillis;
    private long lastCollectionMillis;

    /** Gets the number of descriptors that this process may open; may be called from any thread. */
    static long getMaxDescriptors() {
        return ManagementFactory.getPlatformMXBean(UnixOperatingSystemMXBean.class)
                .getMaxFileDescriptorCount();
    }

    /** Gets the processor time of all threads since the last call, in milliseconds. */
    long takeCpuMillis() {
        long totalMillis = system.getProcessCpuTime() / NANOS_PER_MILLI;
        long millis = totalMillis - lastCpuMillis;
        lastCpuMillis = totalMillis;
        return millis;
    }

    /** Gets the elapsed time of garbage collections since the last call, in milliseconds. */
    long takeCollectionMillis() {
        long totalMillis = collectors.stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
        long millis = totalMillis - lastCollectionMillis;
        lastCollectionMillis = totalMillis;
        return millis;
    }
}
