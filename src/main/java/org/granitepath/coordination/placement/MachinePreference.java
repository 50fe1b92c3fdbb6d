package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;

/** Which of the machines that a job may use is best for one of its tasks. */
public final class MachinePreference {
    private static final double HAS_IMAGE = 20;
    /**
     * Another task there fetches the image already. Otherwise the fetch speed counts, in GB/s: it is lower than this.
     */
    private static final double FETCHES_IMAGE = 10;
    /** What a machine loses that is left wholly free; one that the task fills loses nothing. */
    private static final double CPU_LEFT_FREE_PENALTY = 4;

    private static final double SERVICE_WITH_SERVICES = 12;
    private static final double BATCH_ON_SPOT = 6;
    private static final double BATCH_WITH_SERVICES_PENALTY = 6;
    /** A machine on which tasks failed lately comes after all others. */
    private static final double SUSPECT_PENALTY = 100;

    private final PlacementRules rules;

    /** Prefers by these rules. */
    public MachinePreference(PlacementRules rules) {
        this.rules = rules;
    }

    /**
     * A score without a unit; higher is better. Machines that have the image come first, then tight fits. Services
     * gather on machines that already hold some, batch work on the others and on spot machines, so that emptied
     * machines can be terminated.
     */
    public double score(Machine machine, JobSpec spec) {
        double score = imageScore(machine, spec);
        score -= CPU_LEFT_FREE_PENALTY
                * (machine.capacity().cpuFree() - spec.cpuMillis())
                / machine.type().cpuMillis();
        score -= rules.isSuspect(machine) ? SUSPECT_PENALTY : 0;
        boolean hostsService = machine.capacity().hostsService();
        if (spec.service()) {
            return score + (hostsService ? SERVICE_WITH_SERVICES : 0);
        }
        return score + (machine.spot() ? BATCH_ON_SPOT : 0) - (hostsService ? BATCH_WITH_SERVICES_PENALTY : 0);
    }

    private static double imageScore(Machine machine, JobSpec spec) {
        if (machine.capacity().hasImage(spec.image())) {
            return HAS_IMAGE;
        }
        return machine.fetches(spec.image()) ? FETCHES_IMAGE : machine.type().fetchGbPerSecond();
    }
}
