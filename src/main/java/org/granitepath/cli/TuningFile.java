package org.granitepath.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.config.PriorityWeights;
import org.granitepath.coordination.config.ScalingPolicy;
import org.granitepath.coordination.config.Tuning;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/** Operators' own settings: a YAML file, of which every name must be known. */
final class TuningFile {
    /** Operators' settings that had another name in earlier versions. */
    private static final Map<String, String> RENAMED =
            Map.of("patience-share", "deferral-share", "longest-yield-s", "max-starvation-s");
    /** Users allow no job to be left waiting for 90 s beside capacity that fits. */
    private static final double LONGEST_HOLD_SECONDS = 60;

    private TuningFile() {}

    /**
     * Reads and checks the file.
     *
     * @param file null: there is none
     * @param defaultHoldMicros how long a recovery holds other work unless the file says so
     * @throws Settings.Invalid when a setting is unknown or can't be used
     */
    static Tuning read(Path file, long defaultHoldMicros) throws Settings.Invalid {
        Tuning d = Tuning.defaults().withRecoveryHold(defaultHoldMicros);
        if (file == null) {
            return d;
        }
        Map<?, ?> yaml;
        try {
            Object loaded = new Load(LoadSettings.builder().build()).loadFromString(Files.readString(file));
            if (loaded == null) {
                return d;
            }
            if (!(loaded instanceof Map<?, ?> map)) {
                throw new Settings.Invalid(file + " must hold settings by name");
            }
            yaml = map;
        } catch (IOException e) {
            throw new Settings.Invalid("can't read " + file + ": " + e.getMessage());
        } catch (YamlEngineException e) {
            throw new Settings.Invalid(file + " is not valid YAML: " + e.getMessage());
        }
        Map<String, Object> rest = new LinkedHashMap<>();
        yaml.forEach((k, v) -> rest.put(String.valueOf(k), v));
        Tuning t = new Tuning(
                seconds(rest, "leader-lease-s", d.leaderLeaseMicros(), 1, 60),
                scaling(rest, d.scaling()),
                weights(rest, d.weights()),
                real(rest, "deferral-share", d.deferralShare(), 0, 1),
                seconds(rest, "gang-hold-s", d.gangHoldMicros(), 0, 600),
                (int) real(rest, "claim-block", d.claimBlock(), 1, 100_000),
                seconds(rest, "max-starvation-s", d.maxStarvationMicros(), 1, 86_400),
                seconds(rest, "recovery-hold-s", d.recoveryHoldMicros(), 0, LONGEST_HOLD_SECONDS));
        if (!rest.isEmpty()) {
            String unknown = rest.keySet().iterator().next();
            String renamed = RENAMED.get(unknown);
            throw new Settings.Invalid(file + ": unknown setting " + unknown
                    + (renamed == null ? "" : ", which is called " + renamed + " now"));
        }
        return t;
    }

    private static ScalingPolicy scaling(Map<String, Object> rest, ScalingPolicy otherwise) throws Settings.Invalid {
        return new ScalingPolicy(
                real(rest, "idle-share", otherwise.idleShare(), 0, 100),
                real(rest, "idle-share-spot", otherwise.idleShareSpot(), 0, 100),
                real(rest, "headroom-share", otherwise.headroomShare(), 0, 10));
    }

    private static PriorityWeights weights(Map<String, Object> rest, PriorityWeights otherwise)
            throws Settings.Invalid {
        return new PriorityWeights(
                real(rest, "weight-critical", otherwise.critical(), 1, 1e6),
                real(rest, "weight-high", otherwise.high(), 1, 1e6),
                real(rest, "weight-standard", otherwise.standard(), 1, 1e6),
                real(rest, "weight-best-effort", otherwise.bestEffort(), 1, 1e6));
    }

    private static long seconds(Map<String, Object> m, String name, long otherwise, double least, double most)
            throws Settings.Invalid {
        return Math.round(real(m, name, otherwise / 1e6, least, most) * 1e6);
    }

    private static double real(Map<String, Object> m, String name, double otherwise, double least, double most)
            throws Settings.Invalid {
        Object v = m.remove(name);
        if (v == null) {
            return otherwise;
        }
        if (!(v instanceof Number n) || !(n.doubleValue() >= least && n.doubleValue() <= most)) {
            throw new Settings.Invalid(name + " must be a number from " + least + " to " + most);
        }
        return n.doubleValue();
    }
}
