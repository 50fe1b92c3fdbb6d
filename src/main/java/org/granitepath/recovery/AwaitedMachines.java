package org.granitepath.recovery;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import org.granitepath.storage.JobSpec;
import org.pcollections.OrderedPSet;
import org.pcollections.PSet;

/**
 * The machines taken over that have neither sent a heartbeat under the present fencing token nor are proved gone. They
 * are counted by profile: whether a task may be on one of them costs as many steps as there are profiles, not machines.
 */
final class AwaitedMachines {
    private final Object2IntLinkedOpenHashMap<MachineProfile> byProfile = new Object2IntLinkedOpenHashMap<>();
    /** Their names: an immutable set, so that whoever asks gets it as it stands, without a copy. */
    private PSet<String> names = OrderedPSet.empty();

    /** Parts of the inventory that can't be read: any machine may be among them. */
    private int unreadableParts;

    void add(String machine, MachineProfile profile) {
        byProfile.addTo(profile, 1);
        names = names.plus(machine);
    }

    void addUnreadableParts(int parts) {
        unreadableParts += parts;
    }

    /** One machine of this profile has sent a heartbeat or is gone; true when it was the last one of its profile. */
    boolean remove(String machine, MachineProfile profile) {
        int stillAwaited = byProfile.addTo(profile, -1) - 1;
        names = names.minus(machine);
        if (stillAwaited > 0) {
            return false;
        }
        byProfile.removeInt(profile);
        return true;
    }

    /** Whether a task of this job may be on one of them. */
    boolean mayHold(JobSpec spec) {
        return unreadableParts > 0 || byProfile.keySet().stream().anyMatch(profile -> profile.canRun(spec));
    }

    boolean isEmpty() {
        return names.isEmpty() && unreadableParts == 0;
    }

    PSet<String> names() {
        return names;
    }

    int unreadableParts() {
        return unreadableParts;
    }
}
