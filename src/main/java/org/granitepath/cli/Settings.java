package org.granitepath.cli;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
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

/** The platform's settings file, checked. Fields that we don't know are left alone. */
public record Settings(
        Config config,
        Address listen,
        Address peerListen,
        Map<String, String> peerAddresses,
        String cloud,
        String state) {

    private static final int DEFAULT_CONNECTIONS = 1_000;
    /** For platforms whose settings say nothing of gangs. */
    private static final long DEFAULT_GANG_WAIT_MICROS = 30_000_000;

    private static final long DEFAULT_GANG_PEER_MICROS = 5_000_000;
    private static final double LEAST_WRITES = 0.1;
    private static final double LEAST_VALUE_KB = 0.5;
    private static final double LEAST_TRANSACTION_CHANGES = 4;
    private static final int BYTES_OF_A_KB = 1024;
    /** Fewer leave no capacity for the store, the cloud, the other controllers and a few machines and users. */
    private static final int LEAST_CONNECTIONS = 64;

    /** By default the hold of a recovery is this part of a worker's lease: two heartbeats and a little. */
    private static final int HOLDS_OF_A_LEASE = 4;

    /** An address to listen on or to call. */
    public record Address(String host, int port) {}

    /** A setting that can't be used, in words for the operator. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1;

        Invalid(String message) {
            super(message);
        }
    }

    /**
     * Reads and checks the platform's file and, if {@code tuningFile} is not null, the operators' own.
     *
     * @param liveFirst whether a recovery holds other work for services, for a time that follows from the leases
     *     unless the operators' file names one
     * @throws Invalid when a setting can't be used
     */
    public static Settings read(Path file, Path tuningFile, boolean liveFirst) throws Invalid {
        UnmodifiableConfig toml = parse(file);
        Map<String, String> peers = new LinkedHashMap<>();
        Map<String, String> peerZones = new LinkedHashMap<>();
        for (UnmodifiableConfig peer : tables(toml, "others")) {
            peers.put(text(peer, "node_name"), addressText(peer, "addr"));
            peerZones.put(text(peer, "node_name"), text(peer, "site"));
        }
        long defaultHold = liveFirst ? positive(toml, "facts.workers.lease_s") / HOLDS_OF_A_LEASE : 0;
        Config config = config(toml, peerZones, TuningFile.read(tuningFile, defaultHold));
        checkHold(config.tuning(), liveFirst);
        checkTimes(config.workers());
        checkTeams(config.teams().values());
        return new Settings(
                config,
                address(text(toml, "serve_on"), "serve_on"),
                address(text(toml, "back"), "back"),
                peers,
                addressText(toml, "services.cloud"),
                addressText(toml, "services.state"));
    }

    private static UnmodifiableConfig parse(Path file) throws Invalid {
        try {
            return new TomlParser().parse(Files.readString(file));
        } catch (IOException e) {
            throw new Invalid("can't read " + file + ": " + e.getMessage());
        } catch (ParsingException e) {
            throw new Invalid(file + " is not valid TOML: " + e.getMessage());
        }
    }

    private static Config config(UnmodifiableConfig toml, Map<String, String> peerZones, Tuning tuning) throws Invalid {
        Object zones = toml.get("facts.zones");
        return new Config(
                new ControllerIdentity(
                        text(toml, "node_name"), UUID.randomUUID().toString(), text(toml, "site")),
                new Topology(
                        zones instanceof List<?> l
                                ? l.stream().map(String::valueOf).toList()
                                : List.of(),
                        peerZones),
                teams(toml),
                objectives(toml),
                workerTiming(toml),
                platformLimits(toml),
                Math.round(number(toml, "facts.skew_ms", 0) * 1000),
                tuning);
    }

    private static WorkerTiming workerTiming(UnmodifiableConfig toml) throws Invalid {
        return new WorkerTiming(
                positive(toml, "facts.workers.report_s"),
                positive(toml, "facts.workers.lease_s"),
                positive(toml, "facts.workers.cancel_s"),
                positiveOr(toml, "facts.workers.gang_wait_s", DEFAULT_GANG_WAIT_MICROS),
                positiveOr(toml, "facts.workers.gang_peer_s", DEFAULT_GANG_PEER_MICROS));
    }

    private static PlatformLimits platformLimits(UnmodifiableConfig toml) throws Invalid {
        return new PlatformLimits(
                number(toml, "facts.state.rps", 0.1),
                storeLimits(toml),
                number(toml, "facts.cloud.rps", 0.01),
                toml.get("facts.resources.max_connections") == null
                        ? DEFAULT_CONNECTIONS
                        : (int) number(toml, "facts.resources.max_connections", LEAST_CONNECTIONS));
    }

    /** Limits that the store will have later are kept from the beginning. */
    private static StoreLimits storeLimits(UnmodifiableConfig toml) throws Invalid {
        StoreLimits present = storeLimits(toml, "facts.state.", null);
        Object next = toml.get("facts.state.next");
        if (next == null) {
            return present;
        }
        if (!(next instanceof UnmodifiableConfig)) {
            throw new Invalid("facts.state.next must be a table of limits");
        }
        return present.within(storeLimits(toml, "facts.state.next.", present));
    }

    /** @param otherwise what holds where a limit is missing; null: none may be missing */
    private static StoreLimits storeLimits(UnmodifiableConfig toml, String table, StoreLimits otherwise)
            throws Invalid {
        double writes =
                limit(toml, table + "write_rps", LEAST_WRITES, otherwise == null ? null : otherwise.writesPerSecond());
        double bytes = limit(
                toml,
                table + "value_kb",
                LEAST_VALUE_KB,
                otherwise == null ? null : (double) otherwise.valueBytes() / BYTES_OF_A_KB);
        double ops = limit(
                toml,
                table + "txn_ops",
                LEAST_TRANSACTION_CHANGES,
                otherwise == null ? null : 1.0 * otherwise.transactionChanges());
        return new StoreLimits(writes, (int) (bytes * BYTES_OF_A_KB), (int) ops);
    }

    private static double limit(UnmodifiableConfig toml, String path, double least, Double otherwise) throws Invalid {
        return otherwise != null && toml.get(path) == null ? otherwise : number(toml, path, least);
    }

    private static Map<String, Team> teams(UnmodifiableConfig toml) throws Invalid {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (UnmodifiableConfig team : tables(toml, "facts.teams")) {
            String name = text(team, "name");
            teams.put(
                    name,
                    new Team(
                            name,
                            millis(team, "cpus"),
                            millis(team, "cpus_max"),
                            millis(team, "gpus"),
                            millis(team, "gpus_max")));
        }
        return teams;
    }

    private static Map<String, Objective> objectives(UnmodifiableConfig toml) throws Invalid {
        Map<String, Objective> objectives = new LinkedHashMap<>();
        for (UnmodifiableConfig table : tables(toml, "facts.objectives")) {
            String jobClass = table.get("class");
            if (jobClass != null) {
                Objective former = objectives.getOrDefault(jobClass, Objective.NONE);
                objectives.put(jobClass, with(former, table));
            }
        }
        return objectives;
    }

    /** What is expected of a class so far, with what one more table says. Kinds that we don't know change nothing. */
    private static Objective with(Objective former, UnmodifiableConfig table) throws Invalid {
        Object kind = table.get("kind");
        return switch (String.valueOf(kind)) {
            case "wait" -> new Objective(micros(table, "within_s"), former.deadlineTimes(), former.finishMicros());
            case "deadline" -> {
                double times = table.get("times") instanceof Number n ? n.doubleValue() : 1;
                yield new Objective(
                        former.waitMicros(), Math.max(former.deadlineTimes(), times), former.finishMicros());
            }
            case "finished" -> new Objective(former.waitMicros(), former.deadlineTimes(), micros(table, "within_s"));
            default -> former;
        };
    }

    /** Times under which no rule could be kept, whatever the service does. */
    private static void checkTimes(WorkerTiming times) throws Invalid {
        if (times.leaseMicros() < 2 * times.heartbeatIntervalMicros()) {
            throw new Invalid(
                    "facts.workers.lease_s must be at least twice report_s, or leases run out between reports");
        }
        if (times.maxDisconnectedMicros() < WorkerTiming.MIN_DISCONNECTED_MICROS) {
            throw new Invalid("facts.workers.cancel_s must be more than lease_s by at least "
                    + Math.ceil((times.cancelMicros()
                                            - times.maxDisconnectedMicros()
                                            + WorkerTiming.MIN_DISCONNECTED_MICROS
                                            - times.leaseMicros())
                                    / 1e5)
                            / 10
                    + " s, or cancelled tasks could outlive their time");
        }
    }

    /** A hold that contradicts what else was asked for. */
    private static void checkHold(Tuning tuning, boolean liveFirst) throws Invalid {
        if (liveFirst && tuning.recoveryHoldMicros() == 0) {
            throw new Invalid("recovery-hold-s is 0, but --live-first asks for a hold");
        }
        if (tuning.recoveryHoldMicros() >= tuning.maxStarvationMicros()) {
            throw new Invalid("recovery-hold-s must be less than max-starvation-s");
        }
    }

    private static void checkTeams(Collection<Team> teams) throws Invalid {
        for (Team t : teams) {
            if (t.cpuGuarantee() < 0 || t.cpuLimit() < 0 || t.gpuGuarantee() < 0 || t.gpuLimit() < 0) {
                throw new Invalid("facts.teams: team " + t.name() + ": guarantees and limits can't be negative");
            }
            if ((t.cpuLimit() > 0 && t.cpuGuarantee() > t.cpuLimit())
                    || (t.gpuLimit() > 0 && t.gpuGuarantee() > t.gpuLimit())) {
                throw new Invalid("facts.teams: team " + t.name() + " is guaranteed more than its limit");
            }
        }
    }

    // ---- TOML --------------------------------------------------------------------------------------------------

    private static List<UnmodifiableConfig> tables(UnmodifiableConfig c, String path) throws Invalid {
        Object v = c.get(path);
        if (v == null) {
            return List.of();
        }
        if (!(v instanceof List<?> list)) {
            throw new Invalid(path + " must be a list of tables");
        }
        List<UnmodifiableConfig> tables = new ArrayList<>();
        for (Object o : list) {
            if (!(o instanceof UnmodifiableConfig t)) {
                throw new Invalid(path + " must be a list of tables");
            }
            tables.add(t);
        }
        return tables;
    }

    private static String text(UnmodifiableConfig c, String path) throws Invalid {
        if (!(c.get(path) instanceof String s) || s.isEmpty()) {
            throw new Invalid(path + " is missing or not a text");
        }
        return s;
    }

    private static String addressText(UnmodifiableConfig c, String path) throws Invalid {
        String text = text(c, path);
        address(text, path);
        return text;
    }

    private static Address address(String text, String path) throws Invalid {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new Invalid(path + " must be HOST:PORT, not " + text);
    }

    private static double number(UnmodifiableConfig c, String path, double least) throws Invalid {
        if (!(c.get(path) instanceof Number n) || !(n.doubleValue() >= least)) {
            throw new Invalid(path + " must be a number of at least " + least);
        }
        return n.doubleValue();
    }

    private static long positive(UnmodifiableConfig c, String path) throws Invalid {
        return Math.round(number(c, path, 0.001) * 1e6);
    }

    private static long positiveOr(UnmodifiableConfig c, String path, long otherwise) throws Invalid {
        return c.get(path) == null ? otherwise : positive(c, path);
    }

    private static long micros(UnmodifiableConfig c, String path) throws Invalid {
        return Math.round(number(c, path, 0) * 1e6);
    }

    private static long millis(UnmodifiableConfig c, String path) {
        return c.get(path) instanceof Number n ? Math.round(n.doubleValue() * 1000) : 0;
    }
}
