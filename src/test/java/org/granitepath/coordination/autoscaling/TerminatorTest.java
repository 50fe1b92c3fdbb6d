package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.junit.jupiter.api.Test;

/** Tests the terminator: one request at a time, and how long terminated machines are remembered. */
class TerminatorTest {
    private static final double ENOUGH_REQUESTS_PER_SECOND = 100;

    private final RecordingCloud cloud = new RecordingCloud();
    private final ManualTimers timers = new ManualTimers();
    private final CloudRequestBudget budget = new CloudRequestBudget(ENOUGH_REQUESTS_PER_SECOND, timers.nowMicros());
    private final BootingMachines booting = new BootingMachines();
    private final List<String> terminated = new ArrayList<>();
    private boolean termEnded;
    private final Terminator terminator =
            new Terminator(cloud, budget, timers, booting, terminated::add, () -> termEnded);

    TerminatorTest() {
        booting.add(new BootingMachine("i-1", Examples.TYPE, "a", false, timers.nowMicros()));
    }

    private void terminate(String... ids) {
        terminator.terminate(List.of(ids), timers.nowMicros());
    }

    @Test
    void reportsMachinesAfterCloudTerminatedThem() {
        terminate("i-1", "i-2");
        assertEquals(List.of(), terminated);

        cloud.answerTermination(true);

        assertEquals(List.of("i-1", "i-2"), terminated);
        assertFalse(booting.contains("i-1"));
        assertTrue(terminator.wasRecentlyTerminated("i-1"));
    }

    @Test
    void keepsMachinesAfterRefusalAndMayRequestAgain() {
        terminate("i-1");
        cloud.answerTermination(false);
        assertEquals(List.of(), terminated);
        assertTrue(booting.contains("i-1"));

        timers.advance(Examples.SECOND_MICROS);
        terminate("i-1");

        assertEquals(2, cloud.terminations.size());
    }

    @Test
    void sendsOneRequestAtATime() {
        terminate("i-1");
        timers.advance(Examples.SECOND_MICROS);
        terminate("i-2");
        assertEquals(List.of(List.of("i-1")), cloud.terminations);
    }

    @Test
    void usesNoBudgetWithoutMachines() {
        terminate();
        assertEquals(List.of(), cloud.terminations);
        assertTrue(budget.tryAcquire(timers.nowMicros()));
    }

    @Test
    void requestsNothingWithoutBudget() {
        budget.tryAcquire(timers.nowMicros());
        terminate("i-1");
        assertEquals(List.of(), cloud.terminations);
    }

    @Test
    void remembersMachinesForTwoMinutes() {
        terminate("i-1");
        cloud.answerTermination(true);

        terminator.forgetOldTerminations(timers.nowMicros() + 120 * Examples.SECOND_MICROS);
        assertTrue(terminator.wasRecentlyTerminated("i-1"));

        terminator.forgetOldTerminations(timers.nowMicros() + 120 * Examples.SECOND_MICROS + 1);
        assertFalse(terminator.wasRecentlyTerminated("i-1"));
    }

    @Test
    void ignoresAnswersAfterEndOfTerm() {
        terminate("i-1");
        termEnded = true;
        cloud.answerTermination(true);
        assertEquals(List.of(), terminated);
        assertTrue(booting.contains("i-1"));
    }
}
