package org.granitepath.coordination.placement;

import java.util.Collection;
import java.util.function.Predicate;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** Scores the machines that a job can use, to find the best one for a task of the job. */
public final class MachineScorer {
    private static final double HAS_IMAGE_BONUS = 20;
    /**
     * Bonus for a machine on which another task is fetching the image already. Without such a task the fetch speed
     * in GB/s is the bonus, which is lower than this.
     */
    private static final double FETCHES_IMAGE_BONUS = 10;
    /** Penalty for a machine whose CPUs all stay free; it shrinks to 0 for a machine that the task fills completely. */
    private static final double CPU_LEFT_FREE_PENALTY = 4;

    private static final double SERVICE_WITH_SERVICES_BONUS = 12;
    private static final double BATCH_ON_SPOT_BONUS = 6;
    private static final double BATCH_WITH_SERVICES_PENALTY = 6;
    /** Penalty that ranks a machine on which tasks failed recently after all others. */
    private static final double SUSPECT_PENALTY = 100;

    private final PlacementRules rules;

    /** Creates a scorer that identifies suspect machines with these rules. */
    public MachineScorer(PlacementRules rules) {
        this.rules = rules;
    }

    /** Returns the usable machine with the highest score, the first one among equal scores; null if none is usable. */
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
     * Returns a score without a unit; higher is better. Machines that have the image come first, then tight fits.
     * Service tasks are packed onto machines that already host services, batch tasks onto the others and onto spot
     * machines, so that machines become empty and can be terminated.
     */
    public double score(Machine machine, JobSpec spec) {
        MachineType type = ImageFetchTime.knownType(machine);
        double score = imageScore(machine, type, spec);
        score -= CPU_LEFT_FREE_PENALTY * (machine.capacity().freeCpuMillis() - spec.cpuMillis()) / type.cpuMillis();
        score -= rules.isSuspect(machine) ? SUSPECT_PENALTY : 0;
        boolean hostsService = machine.capacity().hasService();
        if (spec.isService()) {
            return score + (hostsService ? SERVICE_WITH_SERVICES_BONUS : 0);
        }
        return score + (machine.isSpot() ? BATCH_ON_SPOT_BONUS : 0) - (hostsService ? BATCH_WITH_SERVICES_PENALTY : 0);
    }

    private static double imageScore(Machine machine, MachineType type, JobSpec spec) {
        if (machine.capacity().hasImage(spec.image())) {
            return HAS_IMAGE_BONUS;
        }
        return machine.isFetching(spec.image()) ? FETCHES_IMAGE_BONUS : type.fetchGbPerSecond();
    }
}
