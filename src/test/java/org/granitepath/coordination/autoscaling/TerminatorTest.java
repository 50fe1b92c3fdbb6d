package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.junit.jupiter.api.Test;

/** One request to terminate after the other, and what is remembered of it. */
class TerminatorTest {
    private static final double ENOUGH_REQUESTS_PER_SECOND = 100;

    private final KeptRequests cloud = new KeptRequests();
    private final ManualTimers timers = new ManualTimers();
    private final CloudRequestBudget budget = new CloudRequestBudget(ENOUGH_REQUESTS_PER_SECOND, timers.nowMicros());
    private final BootingMachines booting = new BootingMachines();
    private final List<String> gone = new ArrayList<>();
    private boolean ended;
    private final Terminator terminator = new Terminator(cloud, budget, timers, booting, gone::add, () -> ended);

    TerminatorTest() {
        booting.add(new BootingMachine("i-1", Examples.TYPE, "a", false, timers.nowMicros()));
    }

    private void terminate(String... ids) {
        terminator.terminate(List.of(ids), timers.nowMicros());
    }

    @Test
    void machinesAreGoneOnceTheCloudHasThem() {
        terminate("i-1", "i-2");
        assertEquals(List.of(), gone);

        cloud.answerTermination(true);

        assertEquals(List.of("i-1", "i-2"), gone);
        assertFalse(booting.contains("i-1"));
        assertTrue(terminator.terminatedLately("i-1"));
    }

    @Test
    void afterARefusalTheMachinesStayAndMayBeAskedForAgain() {
        terminate("i-1");
        cloud.answerTermination(false);
        assertEquals(List.of(), gone);
        assertTrue(booting.contains("i-1"));

        timers.advance(Examples.SECOND_MICROS);
        terminate("i-1");

        assertEquals(2, cloud.terminations.size());
    }

    @Test
    void oneRequestIsUnderWayAtATime() {
        terminate("i-1");
        timers.advance(Examples.SECOND_MICROS);
        terminate("i-2");
        assertEquals(List.of(List.of("i-1")), cloud.terminations);
    }

    @Test
    void withoutMachinesNothingIsTakenFromTheBudget() {
        terminate();
        assertEquals(List.of(), cloud.terminations);
        assertTrue(budget.tryTake(timers.nowMicros()));
    }

    @Test
    void withoutBudgetNothingIsAskedFor() {
        budget.tryTake(timers.nowMicros());
        terminate("i-1");
        assertEquals(List.of(), cloud.terminations);
    }

    @Test
    void machinesAreRememberedForTwoMinutes() {
        terminate("i-1");
        cloud.answerTermination(true);

        terminator.forgetOld(timers.nowMicros() + 120 * Examples.SECOND_MICROS);
        assertTrue(terminator.terminatedLately("i-1"));

        terminator.forgetOld(timers.nowMicros() + 120 * Examples.SECOND_MICROS + 1);
        assertFalse(terminator.terminatedLately("i-1"));
    }

    @Test
    void afterTheTermAnswersChangeNothing() {
        terminate("i-1");
        ended = true;
        cloud.answerTermination(true);
        assertEquals(List.of(), gone);
        assertTrue(booting.contains("i-1"));
    }
}
