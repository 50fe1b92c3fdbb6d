package org.granitepath.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ControllerIdentity;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.config.PlatformLimits;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Topology;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.storage.Micros;

/** Creates the configuration of the decision code from the platform settings. Reports the first invalid field. */
final class ConfigReader {
    /** Path of the current limits of the store. */
    private static final String CURRENT_STORE_LIMITS = "facts.state.";

    /** Path of the limits that the store will have later. */
    private static final String NEXT_STORE_LIMITS = "facts.state.next.";

    private static final String WRITES_PER_SECOND = "write_rps";
    private static final String VALUE_KB = "value_kb";
    private static final String TRANSACTION_CHANGES = "txn_ops";

    private static final int DEFAULT_CONNECTIONS = 1_000;
    /**
     * With fewer connections, there is no capacity for the store, the cloud, the other controllers and a few machines
     * and users.
     */
    private static final int MIN_CONNECTIONS = 64;

    // Defaults for platforms whose settings do not mention gangs.
    private static final long DEFAULT_GANG_WAIT_MICROS = 30_000_000;

    private static final long DEFAULT_GANG_PEER_MICROS = 5_000_000;
    private static final double MIN_STORE_REQUESTS_PER_SECOND = 0.1;
    private static final double MIN_CLOUD_REQUESTS_PER_SECOND = 0.01;
    private static final double MIN_WRITES_PER_SECOND = 0.1;
    private static final double MIN_VALUE_KB = 0.5;
    private static final double MIN_TRANSACTION_CHANGES = 4;
    private static final int BYTES_PER_KB = 1024;

    private final TomlFields fields;

    /** Creates a reader of the top-level table of the platform settings. */
    ConfigReader(TomlFields fields) {
        this.fields = fields;
    }

    /**
     * Reads the configuration.
     *
     * @param peerZones the zones of the other controllers, by name
     * @param tuning the tuning settings of the operators
     * @throws InvalidSettingException for the first invalid field
     */
    Config read(Map<String, String> peerZones, Tuning tuning) throws InvalidSettingException {
        return new Config(
                new ControllerIdentity(
                        fields.text("node_name"), UUID.randomUUID().toString(), fields.text("site")),
                new Topology(fields.textsOrEmpty("facts.zones"), peerZones),
                teams(),
                objectives(),
                workerTiming(),
                platformLimits(),
                Math.round(fields.number("facts.skew_ms", 0) * Micros.PER_MILLI),
                tuning);
    }

    private Map<String, Team> teams() throws InvalidSettingException {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (TomlFields table : fields.tables("facts.teams")) {
            Team team = new Team(
                    table.text("name"),
                    table.thousandthsOrZero("cpus"),
                    table.thousandthsOrZero("cpus_max"),
                    table.thousandthsOrZero("gpus"),
                    table.thousandthsOrZero("gpus_max"));
            teams.put(team.name(), team);
        }
        return teams;
    }

    private Map<String, Objective> objectives() throws InvalidSettingException {
        Map<String, Objective> objectives = new LinkedHashMap<>();
        for (TomlFields table : fields.tables("facts.objectives")) {
            String jobClass = table.textOrNull("class");
            if (jobClass != null) {
                Objective current = objectives.getOrDefault(jobClass, Objective.NONE);
                objectives.put(jobClass, extend(current, table));
            }
        }
        return objectives;
    }

    /** Returns {@code current} with the value of one more table. Tables of unknown kinds change nothing. */
    private static Objective extend(Objective current, TomlFields table) throws InvalidSettingException {
        return switch (table.anyAsText("kind")) {
            case "wait" -> new Objective(table.micros("within_s"), current.deadlineFactor(), current.finishMicros());
            case "deadline" ->
                new Objective(
                        current.waitMicros(),
                        Math.max(current.deadlineFactor(), table.numberOr("times", 1)),
                        current.finishMicros());
            case "finished" -> new Objective(current.waitMicros(), current.deadlineFactor(), table.micros("within_s"));
            default -> current;
        };
    }

    private WorkerTiming workerTiming() throws InvalidSettingException {
        return new WorkerTiming(
                fields.positiveMicros("facts.workers.report_s"),
                fields.positiveMicros("facts.workers.lease_s"),
                fields.positiveMicros("facts.workers.cancel_s"),
                fields.positiveMicrosOr("facts.workers.gang_wait_s", DEFAULT_GANG_WAIT_MICROS),
                fields.positiveMicrosOr("facts.workers.gang_peer_s", DEFAULT_GANG_PEER_MICROS));
    }

    private PlatformLimits platformLimits() throws InvalidSettingException {
        return new PlatformLimits(
                fields.number("facts.state.rps", MIN_STORE_REQUESTS_PER_SECOND),
                storeLimits(),
                fields.number("facts.cloud.rps", MIN_CLOUD_REQUESTS_PER_SECOND),
                (int) fields.numberIfPresent("facts.resources.max_connections", MIN_CONNECTIONS, DEFAULT_CONNECTIONS));
    }

    /**
     * Returns the stricter of the current and the later limits. The later ones are observed from the first start,
     * because they come into force without notice.
     */
    private StoreLimits storeLimits() throws InvalidSettingException {
        StoreLimits current = currentStoreLimits();
        if (!fields.has("facts.state.next")) {
            return current;
        }
        if (!fields.isTable("facts.state.next")) {
            throw InvalidSettingException.invalid("facts.state.next", "must be a table of limits");
        }
        return current.strictest(nextStoreLimits(current));
    }

    private StoreLimits currentStoreLimits() throws InvalidSettingException {
        return storeLimits(
                fields.number(CURRENT_STORE_LIMITS + WRITES_PER_SECOND, MIN_WRITES_PER_SECOND),
                fields.number(CURRENT_STORE_LIMITS + VALUE_KB, MIN_VALUE_KB),
                fields.number(CURRENT_STORE_LIMITS + TRANSACTION_CHANGES, MIN_TRANSACTION_CHANGES));
    }

    /** Returns the later limits of the store. A limit that is not set keeps its current value. */
    private StoreLimits nextStoreLimits(StoreLimits current) throws InvalidSettingException {
        double currentValueKb = (double) current.valueBytes() / BYTES_PER_KB;
        return storeLimits(
                fields.numberIfPresent(
                        NEXT_STORE_LIMITS + WRITES_PER_SECOND, MIN_WRITES_PER_SECOND, current.writesPerSecond()),
                fields.numberIfPresent(NEXT_STORE_LIMITS + VALUE_KB, MIN_VALUE_KB, currentValueKb),
                fields.numberIfPresent(
                        NEXT_STORE_LIMITS + TRANSACTION_CHANGES,
                        MIN_TRANSACTION_CHANGES,
                        current.transactionChanges()));
    }

    private static StoreLimits storeLimits(double writesPerSecond, double valueKb, double transactionChanges) {
        return new StoreLimits(writesPerSecond, (int) (valueKb * BYTES_PER_KB), (int) transactionChanges);
    }
}
