package org.granitepath.protocol;

import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;

/**
 * The words by which operators' tools know the parts of a recovery: in the JSON of {@code GET /recovery}, in the labels
 * of metrics and in the names of spans. They are fixed, whatever the code calls its constants.
 */
public final class RecoveryLabels {
    private RecoveryLabels() {}

    /** The label of a phase. */
    public static String of(RecoveryPhase phase) {
        return switch (phase) {
            case READING -> "reading";
            case RECONCILING -> "reconciling";
            case RESUMING_LIVE -> "resuming_live";
            case RESUMING_BATCH -> "resuming_batch";
            case RECOVERED -> "recovered";
        };
    }

    /** The label of a verdict on a task. */
    public static String of(Verdict verdict) {
        return switch (verdict) {
            case CONFIRMED -> "confirmed";
            case ADOPTED -> "adopted";
            case FINISHED_MEANWHILE -> "finished_meanwhile";
            case STALE -> "stale";
            case UNKNOWN_JOB -> "unknown_job";
            case EXITED -> "exited";
            case LOST -> "lost";
            case UNCONFIRMED -> "in_doubt";
        };
    }

    /** The label of what a controller can tell. */
    public static String of(Role role) {
        return switch (role) {
            case LEADING -> "leading";
            case LEADING_UNCONFIRMED -> "leading_unconfirmed";
            case FOLLOWING -> "following";
            case UNKNOWN -> "unknown";
        };
    }
}
