package org.granitepath.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;
import org.junit.jupiter.api.Test;

/** Operators' dashboards and scripts use these labels, so they must not change when a constant is renamed. */
class RecoveryLabelsTest {
    @Test
    void phases() {
        assertEquals(
                List.of("reading", "reconciling", "resuming_live", "resuming_batch", "recovered"),
                Stream.of(RecoveryPhase.values()).map(RecoveryLabels::of).toList());
    }

    @Test
    void verdicts() {
        assertEquals(
                List.of(
                        "confirmed",
                        "adopted",
                        "finished_meanwhile",
                        "stale",
                        "unknown_job",
                        "exited",
                        "lost",
                        "in_doubt"),
                Stream.of(Verdict.values()).map(RecoveryLabels::of).toList());
    }

    @Test
    void roles() {
        assertEquals(
                List.of("leading", "leading_unconfirmed", "following", "unknown"),
                Stream.of(Role.values()).map(RecoveryLabels::of).toList());
    }
}
