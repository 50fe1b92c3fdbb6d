package org.granitepath.coordination.term;

import java.util.EnumMap;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.RecordReplica;
import org.jspecify.annotations.Nullable;

/** Creates the recovery status that a controller reports, including the reason if the status is unknown. */
public final class RecoveryStatusFactory {
    /** The hold lasts until the records are read, and it is unknown when that will be. */
    private static final long REMAINING_TIME_UNKNOWN = -1;

    private RecoveryStatusFactory() {}

    /**
     * Returns the current recovery status of this controller.
     *
     * @param leaderTerm null while this controller is not the leader, or is still reading the records of its term
     */
    public static RecoveryStatus of(
            Config config,
            Leadership leadership,
            RecordReplica replica,
            @Nullable LeaderTerm leaderTerm,
            long nowMicros) {
        long recordsAgeMicros = replica.isLoaded() ? nowMicros - replica.lastContactMicros() : -1;
        if (!leadership.isLeader()) {
            return withoutTerm(config, leadership, replica, recordsAgeMicros);
        }
        Role role = leadership.isLeaseConfirmed() ? Role.LEADING : Role.LEADING_UNCONFIRMED;
        String reason = role == Role.LEADING
                ? "the state service confirmed lately that this controller leads"
                : "no recent answer from the state service: another controller may lead by now";
        RecoveryStatus.Term term = leaderTerm == null
                ? termWhileReading(leadership.fencingToken())
                : termDuringRecovery(leaderTerm.recovery(), nowMicros);
        return new RecoveryStatus(
                config.node(), role, config.node(), reason, recordsAgeMicros, replica.malformedRecordCount(), term);
    }

    private static RecoveryStatus withoutTerm(
            Config config, Leadership leadership, RecordReplica replica, long recordsAgeMicros) {
        long unreadable = replica.malformedRecordCount();
        if (!replica.isLoaded()) {
            return RecoveryStatus.withoutTerm(
                    config.node(),
                    Role.UNKNOWN,
                    null,
                    "the records have not been read yet",
                    recordsAgeMicros,
                    unreadable);
        }
        if (recordsAgeMicros > Config.CONTACT_TIMEOUT_MICROS) {
            return RecoveryStatus.withoutTerm(
                    config.node(),
                    Role.UNKNOWN,
                    null,
                    "no recent answer from the state service",
                    recordsAgeMicros,
                    unreadable);
        }
        String leader = leadership.leaderNode();
        String reason = leader == null ? "no leader is on record" : "ask the leader";
        return RecoveryStatus.withoutTerm(config.node(), Role.FOLLOWING, leader, reason, recordsAgeMicros, unreadable);
    }

    private static RecoveryStatus.Term termWhileReading(long fencingToken) {
        RecoveryStatus.Hold hold = new RecoveryStatus.Hold("the records", REMAINING_TIME_UNKNOWN);
        return new RecoveryStatus.Term(
                RecoveryPhase.READING, fencingToken, 0, RecoveryStatus.Machines.NONE, Map.of(), 0, hold);
    }

    private static RecoveryStatus.Term termDuringRecovery(TermRecovery recovery, long nowMicros) {
        RecoveryPlan plan = recovery.plan();
        Map<Verdict, Integer> taskCounts = new EnumMap<>(Verdict.class);
        taskCounts.putAll(plan.taskCountsByVerdict());
        taskCounts.put(Verdict.UNCONFIRMED, recovery.unconfirmedTasks());
        return new RecoveryStatus.Term(
                plan.phase(),
                plan.fencingToken(),
                plan.recordsRevision(),
                new RecoveryStatus.Machines(
                        plan.takenOverMachineCount(), plan.awaitedMachines(), plan.unreadableInventoryParts()),
                taskCounts,
                plan.comparisonCount(),
                plan.isBatchWorkHeld() ? hold(plan, nowMicros) : null);
    }

    private static RecoveryStatus.Hold hold(RecoveryPlan plan, long nowMicros) {
        return new RecoveryStatus.Hold(plan.awaitedLiveWork(), Math.max(0, plan.holdEndMicros() - nowMicros));
    }
}
