package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** The pending machines, and the new machines that the plan adds together with their launches. */
final class PlannedCapacity {
    /**
     * Maximum number of new machines in a plan. A few launches bring no more, and a new plan is made after each of
     * them.
     */
    private static final int MAX_NEW_MACHINES = 400;

    private final List<PlannedMachine> machines = new ArrayList<>();
    /** The launches by the key of their offer, in the order in which they were first planned. */
    private final Map<String, PlannedLaunch> launches = new LinkedHashMap<>();

    private double batchCpuMillis;
    private int newMachineAttempts;

    /** Returns all machines, the pending ones first. */
    List<PlannedMachine> machines() {
        return machines;
    }

    /** Returns the thousandths of a CPU that batch work gets on pending and new machines. */
    double batchCpuMillis() {
        return batchCpuMillis;
    }

    /** Adds an empty pending machine. */
    void addPending(MachineType type, String zone, boolean spot) {
        machines.add(new PlannedMachine(type, zone, spot));
        batchCpuMillis += type.cpuMillis();
    }

    /** Adds a machine to be launched, on which capacity is already reserved for its first tasks. */
    void addNew(PlannedMachine machine, Offer offer) {
        machines.add(machine);
        batchCpuMillis += offer.job().spec().isService() ? 0 : machine.type().cpuMillis();
        addLaunch(offer, 1);
    }

    /** Adds a launch whose machines the rest of the plan does not use. */
    void addLaunch(Offer offer, int count) {
        launches.merge(offer.key(), new PlannedLaunch(offer, count), (launch, added) -> launch.plus(added.count()));
    }

    /** Returns how many machines of this offer the plan launches so far. */
    int launchCount(Offer offer) {
        PlannedLaunch launch = launches.get(offer.key());
        return launch == null ? 0 : launch.count();
    }

    /**
     * Returns whether the plan may have one more new machine.
     *
     * @param uncounted how many new machines the caller has found but not yet counted with {@link
     *     #countNewMachineAttempt}
     */
    boolean canPlanNewMachine(int uncounted) {
        return newMachineAttempts + uncounted < MAX_NEW_MACHINES;
    }

    /** Counts one attempt to find an offer for a new machine against the maximum, whether it succeeds or not. */
    void countNewMachineAttempt() {
        newMachineAttempts++;
    }

    /**
     * Returns the launch to carry out first, or null if there is no launch. Launches for live services precede
     * those for other work; within each group, the launch of the most machines is first.
     */
    @Nullable
    PlannedLaunch firstLaunch() {
        PlannedLaunch first = null;
        for (PlannedLaunch launch : launches.values()) {
            if (first == null || launch.hasPriorityOver(first)) {
                first = launch;
            }
        }
        return first;
    }
}
