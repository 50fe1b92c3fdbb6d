package org.granitepath.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that {@link History} reports violations of its rules. */
class HistoryTest {
    private final History history = new History();

    @Test
    void taskOnTwoMachinesIsAViolation() {
        history.started("a", "run-1/0", 1);
        history.ended("a", "run-1/0", 1, false);
        history.started("b", "run-1/0", 2);
        assertEquals(List.of(), history.violations());
        history.started("c", "run-1/0", 3);
        assertEquals(List.of("runs twice: run-1/0 on b and c"), history.violations());
    }

    @Test
    void repeatedStartInAnAgentEpochIsAViolation() {
        history.startReceived("a", 1, "run-1/0", 1);
        history.startReceived("a", 2, "run-1/0", 1);
        history.startReceived("a", 1, "run-1/0", 2);
        assertEquals(List.of(), history.violations());
        history.startReceived("a", 1, "run-1/0", 1);
        assertEquals(List.of("commanded to start twice: run-1/0 attempt 1 on a"), history.violations());
    }
}
