package org.granitepath.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.ports.JobResponse;
import org.junit.jupiter.api.Test;

/** Repeated requests join, and each gets exactly one answer. */
class PendingAnswersTest {
    private static final long TIMEOUT = 4_000_000;
    private static final JobResponse ANSWER = new JobResponse.NotFound();

    private final ManualTimers timers = new ManualTimers();
    private final PendingAnswers pending = new PendingAnswers(new WaitingRequests(), timers, TIMEOUT);
    private final List<JobResponse> first = new ArrayList<>();
    private final List<JobResponse> second = new ArrayList<>();

    @Test
    void onlyTheFirstRequestBringsTheOutcomeAboutAndAllGetIt() {
        assertTrue(pending.join("job", first::add));
        assertFalse(pending.join("job", second::add));
        pending.resolve("job", ANSWER);
        timers.advance(TIMEOUT);
        assertEquals(List.of(ANSWER), first);
        assertEquals(List.of(ANSWER), second);
    }

    @Test
    void eachRequestHasATimeoutOfItsOwn() {
        pending.join("job", first::add);
        timers.advance(TIMEOUT / 2);
        pending.join("job", second::add);
        timers.advance(TIMEOUT / 2);
        assertEquals(List.of(JobAnswers.retryLater("not on record yet")), first);
        assertTrue(pending.isAwaited("job") && second.isEmpty());
        timers.advance(TIMEOUT / 2);
        assertFalse(pending.isAwaited("job"));
        assertEquals(first, second);
    }
}
