package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.junit.jupiter.api.Test;

/** Only the first of several competing actions runs. */
class OneShotTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final List<String> actionsRun = new ArrayList<>();
    private final OneShot outcome = new OneShot();

    @Test
    void onlyTheFirstActionRuns() {
        outcome.fire(() -> actionsRun.add("answer"));
        outcome.fire(() -> actionsRun.add("second answer"));
        assertEquals(List.of("answer"), actionsRun);
    }

    @Test
    void theTimeoutRunsAfterItsDelayAndNotBefore() {
        outcome.fireAfter(timers, SECOND_MICROS, () -> actionsRun.add("timeout"));
        timers.advance(SECOND_MICROS - 1);
        assertEquals(List.of(), actionsRun);
        timers.advance(1);
        assertEquals(List.of("timeout"), actionsRun);
    }

    @Test
    void anAnswerInTimePreventsTheTimeout() {
        outcome.fireAfter(timers, SECOND_MICROS, () -> actionsRun.add("timeout"));
        outcome.fire(() -> actionsRun.add("answer"));
        timers.advance(2 * SECOND_MICROS);
        assertEquals(List.of("answer"), actionsRun);
    }

    @Test
    void anAnswerAfterTheTimeoutIsIgnored() {
        outcome.fireAfter(timers, SECOND_MICROS, () -> actionsRun.add("timeout"));
        timers.advance(SECOND_MICROS);
        outcome.fire(() -> actionsRun.add("answer"));
        assertEquals(List.of("timeout"), actionsRun);
    }

    @Test
    void anActionStartedByTheFirstOneIsIgnored() {
        outcome.fire(() -> {
            actionsRun.add("answer");
            outcome.fire(() -> actionsRun.add("from within"));
        });
        assertEquals(List.of("answer"), actionsRun);
    }
}
