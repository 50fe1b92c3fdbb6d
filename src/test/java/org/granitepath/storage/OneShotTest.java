package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.junit.jupiter.api.Test;

class OneShotTest {
    private static final long SECOND = 1_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final List<String> fired = new ArrayList<>();
    private final OneShot outcome = new OneShot();

    @Test
    void onlyTheFirstEventDecides() {
        outcome.fire(() -> fired.add("answer"));
        outcome.fire(() -> fired.add("second answer"));
        assertEquals(List.of("answer"), fired);
    }

    @Test
    void theTimeoutDecidesAfterItsDelayAndNotBefore() {
        outcome.fireAfter(timers, SECOND, () -> fired.add("timeout"));
        timers.advance(SECOND - 1);
        assertEquals(List.of(), fired);
        timers.advance(1);
        assertEquals(List.of("timeout"), fired);
    }

    @Test
    void anAnswerInTimeMakesTheTimeoutVoid() {
        outcome.fireAfter(timers, SECOND, () -> fired.add("timeout"));
        outcome.fire(() -> fired.add("answer"));
        timers.advance(2 * SECOND);
        assertEquals(List.of("answer"), fired);
    }

    @Test
    void anAnswerAfterTheTimeoutMeansNothing() {
        outcome.fireAfter(timers, SECOND, () -> fired.add("timeout"));
        timers.advance(SECOND);
        outcome.fire(() -> fired.add("answer"));
        assertEquals(List.of("timeout"), fired);
    }

    @Test
    void anEventThatTheFirstOneBringsAboutMeansNothing() {
        outcome.fire(() -> {
            fired.add("answer");
            outcome.fire(() -> fired.add("from within"));
        });
        assertEquals(List.of("answer"), fired);
    }
}
