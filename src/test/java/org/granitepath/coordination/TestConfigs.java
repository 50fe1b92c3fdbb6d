package org.granitepath.coordination;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ControllerIdentity;
import org.granitepath.coordination.config.PlatformLimits;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Topology;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;

/** Configurations for unit tests. */
public final class TestConfigs {
    private static final long SECOND_MICROS = 1_000_000;

    private TestConfigs() {}

    /** Returns the configuration of one controller; each controller is in a zone of its own. */
    public static Config of(String node, String incarnation, String... peers) {
        Map<String, String> peerZones = new LinkedHashMap<>();
        Arrays.stream(peers).forEach(peer -> peerZones.put(peer, "zone-" + peer));
        return new Config(
                new ControllerIdentity(node, incarnation, "zone-" + node),
                new Topology(List.of("zone-" + node), peerZones),
                Map.of(),
                Map.of(),
                new WorkerTiming(
                        SECOND_MICROS, 10 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 5 * SECOND_MICROS),
                new PlatformLimits(100, new StoreLimits(50, 10_000, 20), 5, 100),
                SECOND_MICROS / 4,
                Tuning.defaults());
    }

    /** Returns a copy of the configuration with these teams. */
    public static Config withTeams(Config config, Team... teams) {
        Map<String, Team> byName = Arrays.stream(teams).collect(Collectors.toMap(Team::name, team -> team));
        return new Config(
                config.identity(),
                config.topology(),
                byName,
                config.objectives(),
                config.workers(),
                config.limits(),
                config.maxClockOffsetMicros(),
                config.tuning());
    }
}
