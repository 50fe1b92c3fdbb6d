package org.granitepath.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.coordination.scheduling.CandidateQueue.Candidate;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which job gets the next task. */
class CandidateTest {
    private final PlacementFixture fixture = new PlacementFixture();

    private ActiveJob job(String id, Priority priority, long acceptedMicros) {
        return fixture.batch(id, priority).acceptedMicros(acceptedMicros).build();
    }

    @Test
    void classThenShareThenPriorityThenAge() {
        List<Candidate> expected = List.of(
                new Candidate(job("live", Priority.HIGH, 9), SchedulingClass.LIVE_SERVICE, 0.9),
                new Candidate(job("guaranteed", Priority.BEST_EFFORT, 9), SchedulingClass.GUARANTEED, 0.8),
                new Candidate(job("lower-share", Priority.BEST_EFFORT, 9), SchedulingClass.MEETS_DEADLINE, 0.1),
                new Candidate(job("higher-priority", Priority.STANDARD, 9), SchedulingClass.MEETS_DEADLINE, 0.2),
                new Candidate(job("older", Priority.BEST_EFFORT, 1), SchedulingClass.MEETS_DEADLINE, 0.2),
                new Candidate(job("younger", Priority.BEST_EFFORT, 2), SchedulingClass.MEETS_DEADLINE, 0.2),
                new Candidate(job("nearly", Priority.HIGH, 1), SchedulingClass.MEETS_EXTENDED_DEADLINE, 0),
                new Candidate(job("any", Priority.CRITICAL, 1), SchedulingClass.OTHER, 0));
        List<Candidate> sorted = new ArrayList<>(expected);
        Collections.shuffle(sorted, new Random(1));
        sorted.sort(Candidate.FIRST_SERVED);
        assertEquals(expected, sorted);
    }
}
