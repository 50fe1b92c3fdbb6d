package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.JobSpec;

/** Which of the machines that a job may use is best for one of its tasks. */
public final class MachinePreference {
    /** A machine on which tasks failed lately comes after all others. */
    private static final double SUSPECT_PENALTY = 100;

    private final PlacementRules rules;

    /** Prefers by these rules. */
    public MachinePreference(PlacementRules rules) {
        this.rules = rules;
    }

    /**
     * Higher is better. Machines that have the image come first, then tight fits. Services gather on machines that
     * already hold some, batch work on the others and on spot machines, so that emptied machines can be terminated.
     */
    public double score(Machine machine, JobSpec spec) {
        double score = machine.capacity().hasImage(spec.image())
                ? 20
                : machine.fetches(spec.image()) ? 10 : machine.type().fetchGbPerSecond();
        score -= 4.0
                * (machine.capacity().cpuFree() - spec.cpuMillis())
                / machine.type().cpuMillis();
        score -= rules.isSuspect(machine) ? SUSPECT_PENALTY : 0;
        boolean mixed = machine.capacity().hostsService();
        return spec.service() ? score + (mixed ? 12 : 0) : score + (machine.spot() ? 6 : 0) - (mixed ? 6 : 0);
    }
}
