package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** The machines that are on their way and those that the plan adds, with the launches that bring the latter. */
final class PlannedCapacity {
    /** More machines than a few launches bring are not planned for: the plan is made anew after each. */
    private static final int MAX_NEW_MACHINES = 400;

    private final List<PlannedMachine> machines = new ArrayList<>();
    /** The launches so far by the key of their offer, in the order in which they were first planned. */
    private final Map<String, PlannedLaunch> launches = new LinkedHashMap<>();

    private double batchCpuMillis;
    private int newMachines;

    /** All machines, those on their way first. */
    List<PlannedMachine> machines() {
        return machines;
    }

    /** CPUs, in thousandths, that batch work gets on machines on their way or planned. */
    double batchCpuMillis() {
        return batchCpuMillis;
    }

    /** Adds a machine that is on its way. */
    void addPending(MachineType type, String zone, boolean spot) {
        machines.add(new PlannedMachine(type, zone, spot));
        batchCpuMillis += type.cpuMillis();
    }

    /** Adds a machine to be launched, of which the first tasks are already set aside. */
    void addNew(PlannedMachine machine, Offer offer) {
        machines.add(machine);
        batchCpuMillis += offer.job().spec().service() ? 0 : machine.type().cpuMillis();
        addLaunch(offer, 1);
    }

    /** Adds a launch whose machines are not at hand for the rest of the plan. */
    void addLaunch(Offer offer, int count) {
        launches.merge(offer.key(), new PlannedLaunch(offer, count), (launch, more) -> launch.plus(more.count()));
    }

    /** How many machines of this offer the plan launches so far. */
    int launchCount(Offer offer) {
        PlannedLaunch launch = launches.get(offer.key());
        return launch == null ? 0 : launch.count();
    }

    /** Whether one more new machine may be considered beside so many that are not counted yet. */
    boolean mayConsiderMore(int uncounted) {
        return newMachines + uncounted < MAX_NEW_MACHINES;
    }

    /** Counts a new machine that was looked for, whether it was found or not. */
    void countConsidered() {
        newMachines++;
    }

    /** What to launch first: for live services before other work, then most of a kind. Null: nothing. */
    @Nullable
    PlannedLaunch first() {
        PlannedLaunch best = null;
        for (PlannedLaunch launch : launches.values()) {
            if (best == null || launch.goesBefore(best)) {
                best = launch;
            }
        }
        return best;
    }
}
