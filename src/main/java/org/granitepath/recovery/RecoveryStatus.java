package org.granitepath.recovery;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pcollections.OrderedPSet;
import org.pcollections.PSet;

/**
 * The state of the recovery as one controller reports it.
 *
 * @param node the node name of the controller
 * @param role whether the controller is the leader, and how certain that is
 * @param leader the node name of the leader that this controller knows of, or null if it knows of none
 * @param reason why the controller reports this role, as text for operators
 * @param recordsAgeMicros the time since the store last answered a read of the records, in microseconds; negative if
 *     the controller has not read them yet
 * @param unreadableRecords the number of records that cannot be read
 * @param term the recovery in the controller's own term, or null if it is not the leader
 */
public record RecoveryStatus(
        String node,
        Role role,
        @Nullable String leader,
        String reason,
        long recordsAgeMicros,
        long unreadableRecords,
        @Nullable Term term) {

    /** Whether the controller is the leader, and how certain that is. */
    public enum Role {
        /** The controller is the leader, as the store confirmed recently, so its status is valid. */
        LEADING,
        /** The controller was the leader when the store last answered; another one may be the leader by now. */
        LEADING_UNCONFIRMED,
        /** Another controller is the leader, or there is none. */
        FOLLOWING,
        /** The store has not answered recently enough for the controller to know the leader. */
        UNKNOWN
    }

    /**
     * The recovery in one term of leadership.
     *
     * @param recordsRevision the revision of the records that the recovery began with; 0 while they are being read
     * @param taskCountsByVerdict the number of tasks that got each verdict so far
     * @param comparisonCount the number of attempts that were compared with the records so far
     * @param hold the hold on batch work, or null if batch work may start
     */
    public record Term(
            RecoveryPhase phase,
            long fencingToken,
            long recordsRevision,
            Machines machines,
            Map<Verdict, Integer> taskCountsByVerdict,
            long comparisonCount,
            @Nullable Hold hold) {}

    /**
     * The machines that the term began with.
     *
     * @param takenOver the number of machines in the inventory when the term began
     * @param awaited the ids of the machines that have neither sent a heartbeat nor are proven to be gone
     * @param unreadableInventoryParts the number of inventory parts that cannot be read; any machine may be in them
     */
    public record Machines(int takenOver, PSet<String> awaited, int unreadableInventoryParts) {
        /** No machine is known, because the inventory has not been read yet. */
        public static final Machines NONE = new Machines(0, OrderedPSet.empty(), 0);
    }

    /**
     * The hold on batch work.
     *
     * @param waitsFor what batch work waits for, as text for operators
     * @param remainingMicros the longest time for which batch work is still held, in microseconds; negative if unknown
     */
    public record Hold(String waitsFor, long remainingMicros) {}

    /** Returns the status of a controller that is not the leader. */
    public static RecoveryStatus withoutTerm(
            String node,
            Role role,
            @Nullable String leader,
            String reason,
            long recordsAgeMicros,
            long unreadableRecords) {
        return new RecoveryStatus(node, role, leader, reason, recordsAgeMicros, unreadableRecords, null);
    }

    /** Returns the phase of the recovery, or null if this controller is not the leader. */
    public @Nullable RecoveryPhase phase() {
        return term == null ? null : term.phase();
    }

    /** Returns the number of machines still awaited, or 0 if this controller is not the leader. */
    public int awaitedMachineCount() {
        return term == null ? 0 : term.machines().awaited().size();
    }

    /** Returns how many tasks got each verdict so far; empty if this controller is not the leader. */
    public Map<Verdict, Integer> taskCountsByVerdict() {
        return term == null ? Map.of() : term.taskCountsByVerdict();
    }
}
