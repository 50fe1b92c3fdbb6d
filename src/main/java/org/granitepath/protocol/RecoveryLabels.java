package org.granitepath.protocol;

import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;

/**
 * The labels of recovery states in the JSON of {@code GET /recovery}, in the tags of metrics and in the names of spans.
 * Operators' tools depend on them, so they stay the same when a constant in the code is renamed.
 */
public final class RecoveryLabels {
    private RecoveryLabels() {}

    /** Returns the label of a phase. */
    public static String of(RecoveryPhase phase) {
        return switch (phase) {
            case READING -> "reading";
            case RECONCILING -> "reconciling";
            case RESUMING_LIVE -> "resuming_live";
            case RESUMING_BATCH -> "resuming_batch";
            case RECOVERED -> "recovered";
        };
    }

    /** Returns the label of a verdict on a task. */
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

    /** Returns the label of a controller's role. */
    public static String of(Role role) {
        return switch (role) {
            case LEADING -> "leading";
            case LEADING_UNCONFIRMED -> "leading_unconfirmed";
            case FOLLOWING -> "following";
            case UNKNOWN -> "unknown";
        };
    }
}
