package org.granitepath.recovery;

import java.util.Map;
import org.pcollections.OrderedPSet;
import org.pcollections.PSet;

/**
 * What a controller can tell of the recovery.
 *
 * @param leader the leader that this controller knows of, or null
 * @param reason why the role is what it is
 * @param missing the machines still awaited, by name
 * @param comparisons how many attempts were compared with the records so far
 * @param batchWaitsFor what work that does not go first is held for, or null
 * @param batchHeldMicros for how much longer it is held, at most
 * @param recordsAgeMicros how old the word is by which this controller knows the records; negative: never
 */
public record RecoveryStatus(
        String node,
        Role role,
        String leader,
        String reason,
        RecoveryPhase phase,
        long fencingToken,
        long revision,
        long recordsAgeMicros,
        int machinesTakenOver,
        PSet<String> missing,
        int unreadableInventoryParts,
        long unreadableRecords,
        Map<Verdict, Integer> tasks,
        long comparisons,
        String batchWaitsFor,
        long batchHeldMicros) {

    /** Whether the controller can tell at all. */
    public enum Role {
        /** It leads, confirmed lately by the store: what it tells holds. */
        LEADING,
        /** It led when it last had word from the store: another may lead by now. */
        LEADING_UNCONFIRMED,
        /** Another controller leads, or none does. */
        FOLLOWING,
        /** It has no word from the store that is recent enough to say who leads. */
        UNKNOWN
    }

    /** How many machines are still awaited. */
    public int machinesMissing() {
        return missing.size();
    }

    /** Of a controller that does not lead. */
    public static RecoveryStatus withoutTerm(
            String node, Role role, String leader, String reason, long recordsAgeMicros, long unreadableRecords) {
        return new RecoveryStatus(
                node,
                role,
                leader,
                reason,
                null,
                0,
                0,
                recordsAgeMicros,
                0,
                OrderedPSet.empty(),
                0,
                unreadableRecords,
                Map.of(),
                0,
                null,
                0);
    }
}
