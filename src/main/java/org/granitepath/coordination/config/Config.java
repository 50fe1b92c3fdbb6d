package org.granitepath.coordination.config;

import java.util.Map;

/**
 * Configuration of one controller: the facts that the platform dictates and the values that the operators choose.
 *
 * @param teams the teams, by name
 * @param objectives the service-level objectives, by job class
 * @param maxClockOffsetMicros bound on the offset of a machine's time of day from the true time; the times of day of
 *     any two machines differ by less than twice this
 */
public record Config(
        ControllerIdentity identity,
        Topology topology,
        Map<String, Team> teams,
        Map<String, Objective> objectives,
        WorkerTiming workers,
        PlatformLimits limits,
        long maxClockOffsetMicros,
        Tuning tuning) {
    /**
     * A controller that has received no answer from the store for this long counts as out of contact with it. The same
     * bound applies to messages from the other controllers.
     */
    public static final long CONTACT_TIMEOUT_MICROS = 2_500_000;

    /** Returns the name of this controller. */
    public String node() {
        return identity.node();
    }
}
