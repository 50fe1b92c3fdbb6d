package org.granitepath.coordination.config;

import java.util.Map;

/**
 * What the decision code needs of the settings: the platform's facts and the operators' own choices.
 *
 * @param teams by name
 * @param objectives by job class
 * @param maxClockOffsetMicros the time of day of any two machines differs by less than twice this
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
    /** Without word from the store for this long a controller counts as out of contact. */
    public static final long CONTACT_TIMEOUT_MICROS = 2_500_000;

    /** The name of this controller. */
    public String node() {
        return identity.node();
    }
}
