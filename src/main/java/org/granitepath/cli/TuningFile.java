package org.granitepath.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.config.PriorityWeights;
import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.protocol.Units;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/** Reads the tuning settings of the operators from a YAML file. Unknown names are errors. */
final class TuningFile {
    /** Names of settings in earlier versions, mapped to the current names. */
    private static final Map<String, String> RENAMED =
            Map.of("patience-share", "deferral-share", "longest-yield-s", "max-starvation-s");
    /** Users do not accept that a job waits for 90 s while there is capacity for it, so a hold must be shorter. */
    private static final double MAX_HOLD_SECONDS = 60;

    private static final double MAX_LEASE_SECONDS = 60;
    private static final double MAX_GANG_HOLD_SECONDS = 600;
    private static final double MAX_STARVATION_SECONDS = 86_400;
    private static final double MAX_CLAIM_BLOCK = 100_000;
    private static final double MAX_IDLE_SHARE = 100;
    private static final double MAX_HEADROOM_SHARE = 10;
    private static final double MAX_WEIGHT = 1e6;

    private final Path file;
    /** Settings in the file that have not been read yet. Those that remain at the end are unknown. */
    private final Map<String, Object> unread = new LinkedHashMap<>();

    private TuningFile(Path file, Map<?, ?> yaml) {
        this.file = file;
        yaml.forEach((name, value) -> unread.put(String.valueOf(name), value));
    }

    /**
     * Reads and validates the file.
     *
     * @param file the file; null for the defaults
     * @param defaultHoldMicros how long a recovery holds other work unless the file sets it, in microseconds
     * @throws InvalidSettingException if a setting is unknown or invalid
     */
    static Tuning read(@Nullable Path file, long defaultHoldMicros) throws InvalidSettingException {
        Tuning defaults = Tuning.defaults().withRecoveryHold(defaultHoldMicros);
        if (file == null) {
            return defaults;
        }
        Object yaml = parse(file);
        if (yaml == null) {
            return defaults;
        }
        if (!(yaml instanceof Map<?, ?> valuesByName)) {
            throw new InvalidSettingException(file + " must map names of settings to values");
        }
        TuningFile settings = new TuningFile(file, valuesByName);
        Tuning tuning = settings.tuning(defaults);
        settings.checkAllRead();
        return tuning;
    }

    /** Returns the content of the file; null if it is empty. */
    private static @Nullable Object parse(Path file) throws InvalidSettingException {
        try {
            return new Load(LoadSettings.builder().build()).loadFromString(Files.readString(file));
        } catch (IOException e) {
            throw InvalidSettingException.unreadable(file, e);
        } catch (YamlEngineException e) {
            throw InvalidSettingException.malformed(file, "YAML", e);
        }
    }

    private Tuning tuning(Tuning defaults) throws InvalidSettingException {
        return new Tuning(
                micros("leader-lease-s", defaults.leaderLeaseMicros(), 1, MAX_LEASE_SECONDS),
                scaling(defaults.scaling()),
                weights(defaults.weights()),
                number("deferral-share", defaults.deferralShare(), 0, 1),
                micros("gang-hold-s", defaults.gangHoldMicros(), 0, MAX_GANG_HOLD_SECONDS),
                (int) number("claim-block", defaults.claimBlockSize(), 1, MAX_CLAIM_BLOCK),
                micros("max-starvation-s", defaults.maxStarvationMicros(), 1, MAX_STARVATION_SECONDS),
                micros("recovery-hold-s", defaults.recoveryHoldMicros(), 0, MAX_HOLD_SECONDS));
    }

    private ScalingPolicy scaling(ScalingPolicy defaults) throws InvalidSettingException {
        return new ScalingPolicy(
                number("idle-share", defaults.idleTimeoutFactor(), 0, MAX_IDLE_SHARE),
                number("idle-share-spot", defaults.spotIdleTimeoutFactor(), 0, MAX_IDLE_SHARE),
                number("headroom-share", defaults.maxHeadroomShare(), 0, MAX_HEADROOM_SHARE));
    }

    private PriorityWeights weights(PriorityWeights defaults) throws InvalidSettingException {
        return new PriorityWeights(
                number("weight-critical", defaults.critical(), 1, MAX_WEIGHT),
                number("weight-high", defaults.high(), 1, MAX_WEIGHT),
                number("weight-standard", defaults.standard(), 1, MAX_WEIGHT),
                number("weight-best-effort", defaults.bestEffort(), 1, MAX_WEIGHT));
    }

    private void checkAllRead() throws InvalidSettingException {
        if (unread.isEmpty()) {
            return;
        }
        String unknown = unread.keySet().iterator().next();
        String renamed = RENAMED.get(unknown);
        String hint = renamed == null ? "" : ", which is now named " + renamed;
        throw new InvalidSettingException(file + ": unknown setting " + unknown + hint);
    }

    private long micros(String name, long defaultMicros, double minSeconds, double maxSeconds)
            throws InvalidSettingException {
        return Units.secondsToMicros(number(name, Units.microsToSeconds(defaultMicros), minSeconds, maxSeconds));
    }

    private double number(String name, double defaultValue, double min, double max) throws InvalidSettingException {
        Object value = unread.remove(name);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number) || !(number.doubleValue() >= min && number.doubleValue() <= max)) {
            throw InvalidSettingException.invalid(name, "must be a number from " + min + " to " + max);
        }
        return number.doubleValue();
    }
}
