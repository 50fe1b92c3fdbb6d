package org.granitepath.recovery;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import org.granitepath.storage.JobSpec;
import org.pcollections.OrderedPSet;
import org.pcollections.PSet;

/**
 * The machines taken over that have neither sent a heartbeat under the current fencing token nor are proven to be gone.
 * They are counted by profile, so that the check whether a task may be on one of them takes as many steps as there are
 * profiles, not machines.
 */
final class AwaitedMachines {
    private final Object2IntLinkedOpenHashMap<MachineProfile> countByProfile = new Object2IntLinkedOpenHashMap<>();
    /** The ids of the machines. The set is immutable, so that {@link #ids} can return it without a copy. */
    private PSet<String> ids = OrderedPSet.empty();

    /** The number of inventory parts that cannot be read. Any machine may be listed in them. */
    private int unreadableParts;

    /** Adds a machine that was taken over. */
    void add(String machine, MachineProfile profile) {
        countByProfile.addTo(profile, 1);
        ids = ids.plus(machine);
    }

    /** Adds parts of the inventory that cannot be read; they stay awaited for the rest of the term. */
    void addUnreadableParts(int parts) {
        unreadableParts += parts;
    }

    /**
     * Removes a machine that has sent a heartbeat or is gone, and returns whether it was the last one of its profile.
     */
    boolean remove(String machine, MachineProfile profile) {
        int remaining = countByProfile.addTo(profile, -1) - 1;
        ids = ids.minus(machine);
        if (remaining > 0) {
            return false;
        }
        countByProfile.removeInt(profile);
        return true;
    }

    /** Returns whether a task of this job may be on one of the awaited machines. */
    boolean canHoldTaskOf(JobSpec spec) {
        return unreadableParts > 0 || countByProfile.keySet().stream().anyMatch(profile -> profile.canRun(spec));
    }

    /** Returns whether no machine is awaited and all parts of the inventory could be read. */
    boolean isEmpty() {
        return ids.isEmpty() && unreadableParts == 0;
    }

    /** Returns the ids of the awaited machines, as an immutable set. */
    PSet<String> ids() {
        return ids;
    }

    /** Returns the number of inventory parts that cannot be read. */
    int unreadableParts() {
        return unreadableParts;
    }
}
