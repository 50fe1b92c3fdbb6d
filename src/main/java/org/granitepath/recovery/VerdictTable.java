package org.granitepath.recovery;

/**
 * The decision table for comparing heartbeats with the records. It applies during the whole term, not only at its
 * beginning, because a delayed heartbeat may arrive at any time. {@code docs/recovery.md} contains the same table.
 */
public final class VerdictTable {
    private VerdictTable() {}

    /** Returns the verdict on an attempt that a heartbeat lists. */
    public static Verdict forListedAttempt(
            RecordedTaskState recorded, KnownPlacement placement, ListedTaskState listed) {
        if (placement == KnownPlacement.THIS_ATTEMPT) {
            return Verdict.CONFIRMED;
        }
        if (recorded == RecordedTaskState.UNREADABLE) {
            return Verdict.UNCONFIRMED;
        }
        return switch (listed) {
            case LIVE -> forLiveAttempt(recorded, placement);
            case COMPLETED -> forCompletedAttempt(recorded);
            case EXITED -> Verdict.EXITED;
        };
    }

    private static Verdict forLiveAttempt(RecordedTaskState recorded, KnownPlacement placement) {
        return switch (recorded) {
            case CLAIMED -> placement == KnownPlacement.NONE ? Verdict.ADOPTED : Verdict.STALE;
            case UNCLAIMED, TASK_DONE, JOB_DONE, JOB_CANCELLED -> Verdict.STALE;
            case NOT_IN_JOB, UNKNOWN_JOB -> Verdict.UNKNOWN_JOB;
            case UNREADABLE -> Verdict.UNCONFIRMED;
        };
    }

    /** A result counts whichever leader started the attempt, as long as it is not recorded yet. */
    private static Verdict forCompletedAttempt(RecordedTaskState recorded) {
        return switch (recorded) {
            case CLAIMED, UNCLAIMED -> Verdict.FINISHED_MEANWHILE;
            case TASK_DONE, JOB_DONE, JOB_CANCELLED, NOT_IN_JOB, UNKNOWN_JOB -> Verdict.EXITED;
            case UNREADABLE -> Verdict.UNCONFIRMED;
        };
    }

    /** Returns the verdict on an attempt that this leader has placed on a machine whose heartbeat does not list it. */
    public static Verdict forMissingAttempt(StartEvidence start) {
        if (start.laterAgentEpoch()) {
            return Verdict.LOST;
        }
        if (!start.underCurrentToken() || !start.startSent() || start.startUnanswered()) {
            return Verdict.UNCONFIRMED;
        }
        boolean responseWasReceived =
                start.listedBefore() || start.initiatedByWorker() || !start.sentInHeartbeatResponse();
        return responseWasReceived ? Verdict.LOST : Verdict.UNCONFIRMED;
    }

    /** Returns the verdict on a task that is recorded as claimed and that no heartbeat has listed so far. */
    public static Verdict forUnlistedTask(boolean canBeOnAwaitedMachine) {
        return canBeOnAwaitedMachine ? Verdict.UNCONFIRMED : Verdict.LOST;
    }
}
