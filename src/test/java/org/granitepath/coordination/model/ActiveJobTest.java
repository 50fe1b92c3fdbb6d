package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.granitepath.coordination.model.Fixtures.TASKS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.util.stream.Stream;
import org.granitepath.coordination.model.ActiveJob.Phase;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the life cycle of a job, and which of its tasks are done, placed, unconfirmed or free to start. */
class ActiveJobTest extends StateMachineRules<Phase> {
    private static final String STEPS = """
            from        OPEN  COMPLETING  ENDED
            OPEN        =     yes         yes
            COMPLETING  -     =           yes
            ENDED       -     -           =
            """;

    private static final String EVENTS = """
            in          markCompleting  markEnded
            OPEN        COMPLETING      ENDED
            COMPLETING  COMPLETING      ENDED
            ENDED       refused         ENDED
            """;

    private static final JobSpec BATCH = Fixtures.spec(JobSpec.Shape.BATCH, false, false);

    private final Machine north = Fixtures.machine("i-1", "north");
    private final Machine south = Fixtures.machine("i-2", "south");
    private final ActiveJob job = Fixtures.job();

    static Stream<Arguments> steps() {
        return RuleTable.steps(Phase.class, STEPS);
    }

    static Stream<Arguments> events() {
        return RuleTable.cells(Phase.class, EVENTS);
    }

    @Override
    Phase phase() {
        return job.phase();
    }

    @Override
    boolean canTransition(Phase from, Phase next) {
        return from.canTransitionTo(next);
    }

    @Override
    void moveTo(Phase phase) {
        switch (phase) {
            case OPEN -> {}
            case COMPLETING -> job.markCompleting();
            case ENDED -> job.markEnded("test");
        }
    }

    @Override
    void apply(String event) {
        switch (event) {
            case "markCompleting" -> job.markCompleting();
            case "markEnded" -> job.markEnded("test");
            default -> throw new IllegalArgumentException(event);
        }
    }

    /** A job of which a previous leader claimed five tasks and task 1 is done. */
    private static ActiveJob inherited(JobSpec spec) {
        RangeSet<Integer> done = TreeRangeSet.create();
        ProgressRecord.addTask(done, 1);
        return Fixtures.job(spec, 3, new ProgressRecord("n0", 5, done, 2));
    }

    @Test
    void claimedTasksOfPreviousLeaderAreUnconfirmedUnlessDone() {
        ActiveJob inherited = inherited(BATCH);
        assertEquals(5, inherited.claimedTasks(), "the larger one of the claims in its two records");
        assertEquals(5, inherited.requestedClaim());
        assertEquals(5, inherited.firstUnstartedTask());
        assertEquals(4, inherited.unconfirmedTasks());
        assertEquals(4, inherited.runningTasks());
        assertEquals(9, inherited.unfinishedTasks());
        assertEquals(5, inherited.waitingTasks());
        assertFalse(inherited.hasStartableTask(), "no unconfirmed task may start");
    }

    @Test
    void resolvedTasksStartAgainLowestNumberFirst() {
        ActiveJob inherited = inherited(BATCH);
        inherited.resolveUnconfirmed();
        assertEquals(0, inherited.unconfirmedTasks());
        assertEquals(9, inherited.waitingTasks());
        assertEquals(0, inherited.firstFreedTask());
        assertEquals(0, inherited.takeTask());
        assertEquals(2, inherited.takeTask());
        inherited.takeTask(3);
        assertEquals(4, inherited.takeTask());
        assertFalse(inherited.hasStartableTask());
        inherited.confirmClaim(6);
        assertTrue(inherited.hasStartableTask());
        assertEquals(5, inherited.takeTask());
        assertEquals(6, inherited.firstUnstartedTask());
    }

    @Test
    void claimAllowsStartsOnlyOnceItIsStored() {
        job.requestClaim(4);
        assertEquals(4, job.requestedClaim());
        assertFalse(job.hasStartableTask());
        job.confirmClaim(4);
        assertTrue(job.hasStartableTask());
    }

    @Test
    void placedTaskIsNoLongerUnconfirmed() {
        ActiveJob inherited = inherited(BATCH);
        Placement found = Fixtures.placement(inherited, 2, north, 1);
        inherited.addPlacement(found);
        assertEquals(3, inherited.unconfirmedTasks());
        assertEquals(4, inherited.runningTasks());
        assertSame(found, inherited.placement(2));
        assertEquals(1, inherited.tasksByZone().get("north"));
    }

    @Test
    void removedTaskIsFreeUnlessItMayBeElsewhere() {
        ActiveJob inherited = inherited(BATCH);
        Placement here = Fixtures.placement(inherited, 2, north, 1);
        inherited.addPlacement(here);
        inherited.removePlacement(here, true);
        assertEquals(4, inherited.unconfirmedTasks());
        assertFalse(inherited.hasStartableTask());
        inherited.addPlacement(here);
        inherited.removePlacement(here, false);
        assertEquals(3, inherited.unconfirmedTasks());
        assertEquals(2, inherited.firstFreedTask());
        assertNull(inherited.placement(2));
        assertEquals(0, inherited.tasksByZone().get("north"));
    }

    @Test
    void removingEarlierAttemptKeepsLaterOne() {
        Placement earlier = Fixtures.placement(job, 2, north, 1);
        Placement later = Fixtures.placement(job, 2, south, 2);
        job.addPlacement(later);
        job.removePlacement(earlier, false);
        assertSame(later, job.placement(2));
        assertFalse(job.hasStartableTask());
    }

    @Test
    void doneTaskNeverStartsAgain() {
        Placement placement = Fixtures.placement(job, 0, north, 1);
        job.addPlacement(placement);
        job.markDone(0);
        job.markDone(0);
        assertEquals(TASKS - 1, job.unfinishedTasks(), "counted once");
        job.removePlacement(placement, false);
        assertFalse(job.hasStartableTask());
        assertTrue(job.isDone(0));
    }

    @Test
    void endedJobHasNoWaitingOrFreedTasks() {
        Placement placement = Fixtures.placement(job, 0, north, 1);
        job.addPlacement(placement);
        job.markEnded("cancelled");
        assertEquals(0, job.waitingTasks());
        job.removePlacement(placement, false);
        assertFalse(job.hasStartableTask());
        assertFalse(job.hasPlacements());
    }

    @Test
    void allTasksOfGangAreDoneTogether() {
        ActiveJob gang = inherited(Fixtures.spec(JobSpec.Shape.GANG, false, false));
        gang.markAllDone();
        assertEquals(0, gang.unfinishedTasks());
        assertEquals(0, gang.unconfirmedTasks());
        assertTrue(gang.isDone(TASKS - 1));
    }

    @Test
    void gangHasOneAttemptAtATime() {
        assertNull(job.gangAttempt());
        GangAttempt attempt = job.beginGangAttempt(5);
        assertSame(attempt, job.gangAttempt());
        assertEquals(5, attempt.number());
        job.clearGangAttempt();
        assertNull(job.gangAttempt());
    }

    @Test
    void oneZoneJobIsBoundToZoneOfItsFirstPlacement() {
        ActiveJob oneZone = Fixtures.job(Fixtures.spec(JobSpec.Shape.GANG, true, false), 0, ProgressRecord.empty());
        assertTrue(oneZone.canPlaceInZone("north"));
        Placement placement = Fixtures.placement(oneZone, 0, south, 1);
        oneZone.addPlacement(placement);
        assertFalse(oneZone.canPlaceInZone("north"));
        assertTrue(oneZone.canPlaceInZone("south"));
        oneZone.removePlacement(placement, false);
        assertTrue(oneZone.canPlaceInZone("north"));
    }

    @Test
    void unconfirmedTasksCountInEveryZone() {
        assertFalse(inherited(Fixtures.spec(JobSpec.Shape.GANG, true, false)).canPlaceInZone("north"));
        ActiveJob spread = inherited(Fixtures.spec(JobSpec.Shape.SERVICE, false, true));
        int cap = spread.spec().maxTasksPerZone();
        assertEquals(4 + 1 <= cap, spread.canPlaceInZone("north"));
        while (spread.tasksByZone().getOrDefault("north", 0) + spread.unconfirmedTasks() < cap) {
            spread.addPlacement(
                    Fixtures.placement(spread, 5 + spread.placements().size(), north, 1));
        }
        assertFalse(spread.canPlaceInZone("north"));
    }

    @ParameterizedTest(name = "{0} of priority {1}: {2}")
    @CsvSource({"SERVICE, CRITICAL, true", "SERVICE, HIGH, true", "SERVICE, STANDARD, false", "BATCH, CRITICAL, false"})
    void servicesOfHighPriorityAreLiveServices(JobSpec.Shape shape, Priority priority, boolean live) {
        JobSpec spec = Fixtures.spec(shape, false, false, priority);
        assertEquals(live, Fixtures.job(spec, 0, ProgressRecord.empty()).isLiveService());
    }

    @Test
    void runTimesAddUp() {
        job.addRunTime(3 * SECOND);
        job.addRunTime(5 * SECOND);
        assertEquals(2, job.runTimeCount());
        assertEquals(8.0 * SECOND, job.totalRunMicros());
    }
}
