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

/** Makes the decision code's configuration from the platform's settings. The first field that is wrong is reported. */
final class ConfigReader {
    /** The limits of the store that hold now, and those that it will have later. */
    private static final String STORE = "facts.state.";

    private static final String NEXT_STORE = "facts.state.next.";
    private static final String WRITES_PER_SECOND = "write_rps";
    private static final String VALUE_KB = "value_kb";
    private static final String TRANSACTION_CHANGES = "txn_ops";

    private static final int DEFAULT_CONNECTIONS = 1_000;
    /** Fewer leave no capacity for the store, the cloud, the other controllers and a few machines and users. */
    private static final int MIN_CONNECTIONS = 64;

    /** For platforms whose settings say nothing of gangs. */
    private static final long DEFAULT_GANG_WAIT_MICROS = 30_000_000;

    private static final long DEFAULT_GANG_PEER_MICROS = 5_000_000;
    private static final double MIN_STORE_REQUESTS = 0.1;
    private static final double MIN_CLOUD_REQUESTS = 0.01;
    private static final double MIN_WRITES_PER_SECOND = 0.1;
    private static final double MIN_VALUE_KB = 0.5;
    private static final double MIN_TRANSACTION_CHANGES = 4;
    private static final int BYTES_PER_KB = 1024;
    private static final int MICROS_PER_MILLI = 1000;

    private final TomlFields fields;

    /** Reads from the top of the settings. */
    ConfigReader(TomlFields fields) {
        this.fields = fields;
    }

    /**
     * Reads the configuration.
     *
     * @param peerZones the zones of the other controllers, by name
     * @param tuning the operators' own choices
     */
    Config read(Map<String, String> peerZones, Tuning tuning) throws InvalidSettingException {
        return new Config(
                new ControllerIdentity(
                        fields.text("node_name"), UUID.randomUUID().toString(), fields.text("site")),
                new Topology(fields.textsOrNone("facts.zones"), peerZones),
                teams(),
                objectives(),
                workerTiming(),
                platformLimits(),
                Math.round(fields.number("facts.skew_ms", 0) * MICROS_PER_MILLI),
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
                Objective former = objectives.getOrDefault(jobClass, Objective.NONE);
                objectives.put(jobClass, with(former, table));
            }
        }
        return objectives;
    }

    /** What is expected of a class so far, with what one more table says. Kinds that we don't know change nothing. */
    private static Objective with(Objective former, TomlFields table) throws InvalidSettingException {
        return switch (table.anyAsText("kind")) {
            case "wait" -> new Objective(table.micros("within_s"), former.deadlineFactor(), former.finishMicros());
            case "deadline" ->
                new Objective(
                        former.waitMicros(),
                        Math.max(former.deadlineFactor(), table.numberOr("times", 1)),
                        former.finishMicros());
            case "finished" -> new Objective(former.waitMicros(), former.deadlineFactor(), table.micros("within_s"));
            default -> former;
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
                fields.number("facts.state.rps", MIN_STORE_REQUESTS),
                storeLimits(),
                fields.number("facts.cloud.rps", MIN_CLOUD_REQUESTS),
                (int) fields.numberIfPresent("facts.resources.max_connections", MIN_CONNECTIONS, DEFAULT_CONNECTIONS));
    }

    /** Limits that the store will have later are kept from the beginning. */
    private StoreLimits storeLimits() throws InvalidSettingException {
        StoreLimits present = presentStoreLimits();
        if (!fields.has("facts.state.next")) {
            return present;
        }
        if (!fields.isTable("facts.state.next")) {
            throw InvalidSettingException.wrong("facts.state.next", "must be a table of limits");
        }
        return present.strictest(nextStoreLimits(present));
    }

    private StoreLimits presentStoreLimits() throws InvalidSettingException {
        return storeLimits(
                fields.number(STORE + WRITES_PER_SECOND, MIN_WRITES_PER_SECOND),
                fields.number(STORE + VALUE_KB, MIN_VALUE_KB),
                fields.number(STORE + TRANSACTION_CHANGES, MIN_TRANSACTION_CHANGES));
    }

    /** A limit that is not named stays as it is at present. */
    private StoreLimits nextStoreLimits(StoreLimits present) throws InvalidSettingException {
        double presentValueKb = (double) present.valueBytes() / BYTES_PER_KB;
        return storeLimits(
                fields.numberIfPresent(
                        NEXT_STORE + WRITES_PER_SECOND, MIN_WRITES_PER_SECOND, present.writesPerSecond()),
                fields.numberIfPresent(NEXT_STORE + VALUE_KB, MIN_VALUE_KB, presentValueKb),
                fields.numberIfPresent(
                        NEXT_STORE + TRANSACTION_CHANGES, MIN_TRANSACTION_CHANGES, present.transactionChanges()));
    }

    private static StoreLimits storeLimits(double writesPerSecond, double valueKb, double transactionChanges) {
        return new StoreLimits(writesPerSecond, (int) (valueKb * BYTES_PER_KB), (int) transactionChanges);
    }
}
