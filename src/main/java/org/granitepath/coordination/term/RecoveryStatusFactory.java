package org.granitepath.coordination.term;

import java.util.EnumMap;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.RecordReplica;
import org.pcollections.OrderedPSet;

/** Puts together what a controller can tell of a recovery, and says so when it can't. */
public final class RecoveryStatusFactory {
    private RecoveryStatusFactory() {}

    /**
     * What this controller can tell now.
     *
     * @param leaderTerm null while this controller does not lead, or still reads the records of its term
     */
    public static RecoveryStatus of(
            Config config, Leadership leadership, RecordReplica replica, LeaderTerm leaderTerm, long nowMicros) {
        long age = replica.loaded() ? nowMicros - replica.lastContactMicros() : -1;
        if (!leadership.leads()) {
            return withoutTerm(config, leadership, replica, age);
        }
        Role role = leadership.leaseConfirmed() ? Role.LEADING : Role.LEADING_UNCONFIRMED;
        String reason = role == Role.LEADING
                ? "the state service confirmed lately that this controller leads"
                : "no recent answer from the state service: another controller may lead by now";
        if (leaderTerm == null) {
            return reading(config, leadership, replica, role, reason, age);
        }
        return during(config, replica, leaderTerm, role, reason, age, nowMicros);
    }

    private static RecoveryStatus withoutTerm(Config config, Leadership leadership, RecordReplica replica, long age) {
        long unreadable = replica.malformedRecords();
        if (!replica.loaded()) {
            return RecoveryStatus.withoutTerm(
                    config.node(), Role.UNKNOWN, null, "the records have not been read yet", age, unreadable);
        }
        if (age > Config.CONTACT_TIMEOUT_MICROS) {
            return RecoveryStatus.withoutTerm(
                    config.node(), Role.UNKNOWN, null, "no recent answer from the state service", age, unreadable);
        }
        String leader = leadership.leaderNode();
        String reason = leader == null ? "no leader is on record" : "ask the leader";
        return RecoveryStatus.withoutTerm(config.node(), Role.FOLLOWING, leader, reason, age, unreadable);
    }

    private static RecoveryStatus reading(
            Config config, Leadership leadership, RecordReplica replica, Role role, String reason, long age) {
        return new RecoveryStatus(
                config.node(),
                role,
                config.node(),
                reason,
                RecoveryPhase.READING,
                leadership.fencingToken(),
                0,
                age,
                0,
                OrderedPSet.empty(),
                0,
                replica.malformedRecords(),
                Map.of(),
                0,
                "the records",
                -1);
    }

    private static RecoveryStatus during(
            Config config,
            RecordReplica replica,
            LeaderTerm leaderTerm,
            Role role,
            String reason,
            long age,
            long nowMicros) {
        RecoveryPlan plan = leaderTerm.recovery().plan();
        Map<Verdict, Integer> tasks = new EnumMap<>(Verdict.class);
        tasks.putAll(plan.verdicts());
        tasks.put(Verdict.UNCONFIRMED, leaderTerm.recovery().unconfirmedTasks());
        boolean held = plan.holdsBatchWork();
        return new RecoveryStatus(
                config.node(),
                role,
                config.node(),
                reason,
                plan.phase(),
                plan.fencingToken(),
                plan.revision(),
                age,
                plan.machinesTakenOver(),
                plan.machinesAwaited(),
                plan.unreadableInventoryParts(),
                replica.malformedRecords(),
                tasks,
                plan.comparisons(),
                held ? plan.waitingFor() : null,
                held ? Math.max(0, plan.holdEndsMicros() - nowMicros) : 0);
    }
}
