package org.granitepath.recovery;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pcollections.OrderedPSet;
import org.pcollections.PSet;

/**
 * What a controller can tell of the recovery.
 *
 * @param leader the leader that this controller knows of, or null
 * @param reason why the role is what it is
 * @param recordsAgeMicros how long ago the store last told this controller of the records; negative: never
 * @param unreadableRecords how many records can't be read
 * @param term the recovery of the controller's own term; null when it does not lead
 */
public record RecoveryStatus(
        String node,
        Role role,
        @Nullable String leader,
        String reason,
        long recordsAgeMicros,
        long unreadableRecords,
        @Nullable Term term) {

    /** Whether the controller can tell at all. */
    public enum Role {
        /** It leads, confirmed lately by the store: what it tells holds. */
        LEADING,
        /** It led when the store last answered: another may lead by now. */
        LEADING_UNCONFIRMED,
        /** Another controller leads, or none does. */
        FOLLOWING,
        /** It has no answer of the store that is recent enough to say who leads. */
        UNKNOWN
    }

    /**
     * The recovery of one term of leadership.
     *
     * @param recordsRevision the revision of the records that it began with; 0 while they are read
     * @param taskCountsByVerdict how many tasks got each verdict so far
     * @param comparisonCount how many attempts were compared with the records so far
     * @param hold what holds batch work back; null when it may start
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
     * @param awaited those that have neither sent a heartbeat nor are proved gone, by name
     * @param unreadableInventoryParts parts of the inventory that can't be read: any machine may be among them
     */
    public record Machines(int takenOver, PSet<String> awaited, int unreadableInventoryParts) {
        /** None is known: the inventory is not read yet. */
        public static final Machines NONE = new Machines(0, OrderedPSet.empty(), 0);
    }

    /**
     * What holds batch work back.
     *
     * @param waitsFor what it waits for, in words
     * @param remainingMicros for how much longer it is held, at most; negative: not known
     */
    public record Hold(String waitsFor, long remainingMicros) {}

    /** Of a controller that does not lead. */
    public static RecoveryStatus withoutTerm(
            String node,
            Role role,
            @Nullable String leader,
            String reason,
            long recordsAgeMicros,
            long unreadableRecords) {
        return new RecoveryStatus(node, role, leader, reason, recordsAgeMicros, unreadableRecords, null);
    }

    /** How far the recovery has come; null when this controller does not lead. */
    public @Nullable RecoveryPhase phase() {
        return term == null ? null : term.phase();
    }

    /** How many machines are still awaited; 0 when this controller does not lead. */
    public int awaitedMachineCount() {
        return term == null ? 0 : term.machines().awaited().size();
    }

    /** How many tasks got each verdict so far; empty when this controller does not lead. */
    public Map<Verdict, Integer> taskCountsByVerdict() {
        return term == null ? Map.of() : term.taskCountsByVerdict();
    }
}
