package org.granitepath.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.ports.JobResponse;
import org.junit.jupiter.api.Test;

/** Repeated requests for a job wait together, and each gets exactly one answer. */
class PendingAnswersTest {
    private static final long TIMEOUT_MICROS = 4_000_000;
    private static final JobResponse ANSWER = new JobResponse.NotFound();

    private final ManualTimers timers = new ManualTimers();
    private final PendingAnswers pending = new PendingAnswers(new WaitingRequests(), timers, TIMEOUT_MICROS);
    private final List<JobResponse> firstAnswers = new ArrayList<>();
    private final List<JobResponse> secondAnswers = new ArrayList<>();

    @Test
    void onlyTheFirstRequestStartsTheOperationAndAllGetTheAnswer() {
        assertTrue(pending.join("job", firstAnswers::add));
        assertFalse(pending.join("job", secondAnswers::add));
        pending.resolve("job", ANSWER);
        timers.advance(TIMEOUT_MICROS);
        assertEquals(List.of(ANSWER), firstAnswers);
        assertEquals(List.of(ANSWER), secondAnswers);
    }

    @Test
    void eachRequestHasItsOwnTimeout() {
        pending.join("job", firstAnswers::add);
        timers.advance(TIMEOUT_MICROS / 2);
        pending.join("job", secondAnswers::add);
        timers.advance(TIMEOUT_MICROS / 2);
        assertEquals(List.of(JobAnswers.retryLater("not on record yet")), firstAnswers);
        assertTrue(pending.isAwaited("job") && secondAnswers.isEmpty());
        timers.advance(TIMEOUT_MICROS / 2);
        assertFalse(pending.isAwaited("job"));
        assertEquals(firstAnswers, secondAnswers);
    }
}
