package org.granitepath.coordination.placement;

import java.util.Collection;
import java.util.function.Predicate;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** Which of the machines that a job may use is best for one of its tasks. */
public final class MachineScorer {
    private static final double HAS_IMAGE_BONUS = 20;
    /**
     * Another task there fetches the image already. Otherwise the fetch speed counts, in GB/s: it is lower than this.
     */
    private static final double FETCHES_IMAGE_BONUS = 10;
    /** What a machine loses that is left wholly free; one that the task fills loses nothing. */
    private static final double CPU_LEFT_FREE_PENALTY = 4;

    private static final double SERVICE_WITH_SERVICES_BONUS = 12;
    private static final double BATCH_ON_SPOT_BONUS = 6;
    private static final double BATCH_WITH_SERVICES_PENALTY = 6;
    /** A machine on which tasks failed lately comes after all others. */
    private static final double SUSPECT_PENALTY = 100;

    private final PlacementRules rules;

    /** Prefers by these rules. */
    public MachineScorer(PlacementRules rules) {
        this.rules = rules;
    }

    /** The usable machine with the highest score, the first among equals; null: none is usable. */
    public @Nullable Machine best(Collection<Machine> machines, Predicate<Machine> usable, JobSpec spec) {
        Machine best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (Machine machine : machines) {
            if (usable.test(machine)) {
                double score = score(machine, spec);
                if (score > bestScore) {
                    bestScore = score;
                    best = machine;
                }
            }
        }
        return best;
    }

    /**
     * A score without a unit; higher is better. Machines that have the image come first, then tight fits. Services
     * gather on machines that already hold some, batch work on the others and on spot machines, so that emptied
     * machines can be terminated.
     */
    public double score(Machine machine, JobSpec spec) {
        MachineType type = ImageFetchTime.knownType(machine);
        double score = imageScore(machine, type, spec);
        score -= CPU_LEFT_FREE_PENALTY * (machine.capacity().cpuFree() - spec.cpuMillis()) / type.cpuMillis();
        score -= rules.isSuspect(machine) ? SUSPECT_PENALTY : 0;
        boolean hostsService = machine.capacity().hostsService();
        if (spec.service()) {
            return score + (hostsService ? SERVICE_WITH_SERVICES_BONUS : 0);
        }
        return score + (machine.spot() ? BATCH_ON_SPOT_BONUS : 0) - (hostsService ? BATCH_WITH_SERVICES_PENALTY : 0);
    }

    private static double imageScore(Machine machine, MachineType type, JobSpec spec) {
        if (machine.capacity().hasImage(spec.image())) {
            return HAS_IMAGE_BONUS;
        }
        return machine.fetches(spec.image()) ? FETCHES_IMAGE_BONUS : type.fetchGbPerSecond();
    }
}
