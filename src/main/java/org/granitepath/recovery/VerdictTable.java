package org.granitepath.recovery;

/**
 * The one table by which records and heartbeats are compared. It holds for the whole term, not only for its
 * beginning: a heartbeat that was held up may arrive at any time. {@code docs/recovery.md} prints it.
 */
public final class VerdictTable {
    private VerdictTable() {}

    /** The verdict on an attempt that a heartbeat lists. */
    public static Verdict forListedAttempt(
            RecordedTaskState recorded, KnownPlacement placement, ListedTaskState listed) {
        if (placement == KnownPlacement.THIS_ATTEMPT) {
            return Verdict.CONFIRMED;
        }
        if (recorded == RecordedTaskState.UNREADABLE) {
            return Verdict.UNCONFIRMED;
        }
        return switch (listed) {
            case LIVE -> ofLive(recorded, placement);
            case COMPLETED -> ofCompleted(recorded);
            case EXITED -> Verdict.EXITED;
        };
    }

    private static Verdict ofLive(RecordedTaskState recorded, KnownPlacement placement) {
        return switch (recorded) {
            case CLAIMED -> placement == KnownPlacement.NONE ? Verdict.ADOPTED : Verdict.STALE;
            case UNCLAIMED, TASK_DONE, JOB_DONE, JOB_CANCELLED -> Verdict.STALE;
            case NOT_IN_JOB, UNKNOWN_JOB -> Verdict.UNKNOWN_JOB;
            case UNREADABLE -> Verdict.UNCONFIRMED;
        };
    }

    /** A result counts whoever started the attempt, as long as the records lack it. */
    private static Verdict ofCompleted(RecordedTaskState recorded) {
        return switch (recorded) {
            case CLAIMED, UNCLAIMED -> Verdict.FINISHED_MEANWHILE;
            case TASK_DONE, JOB_DONE, JOB_CANCELLED, NOT_IN_JOB, UNKNOWN_JOB -> Verdict.EXITED;
            case UNREADABLE -> Verdict.UNCONFIRMED;
        };
    }

    /** The verdict on an attempt of this leader that the machine's heartbeat does not list. */
    public static Verdict forMissingAttempt(StartEvidence start) {
        if (start.laterAgentEpoch()) {
            return Verdict.LOST;
        }
        if (!start.underCurrentToken() || !start.startSent() || start.startUnanswered()) {
            return Verdict.UNCONFIRMED;
        }
        boolean answerWasTaken = start.listedBefore() || start.initiatedByWorker() || !start.sentInHeartbeatResponse();
        return answerWasTaken ? Verdict.LOST : Verdict.UNCONFIRMED;
    }

    /** The verdict on a task that is claimed on record and that no heartbeat so far has listed. */
    public static Verdict forUnlistedTask(boolean mayRunOnAwaitedMachine) {
        return mayRunOnAwaitedMachine ? Verdict.UNCONFIRMED : Verdict.LOST;
    }
}
