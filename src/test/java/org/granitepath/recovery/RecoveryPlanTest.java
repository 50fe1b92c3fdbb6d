package org.granitepath.recovery;

import static org.granitepath.recovery.RecoveryFixtures.NORTH;
import static org.granitepath.recovery.RecoveryFixtures.SECOND_MICROS;
import static org.granitepath.recovery.RecoveryFixtures.SOUTH_SPOT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which work may start in each phase of a recovery, and when the phase ends. */
class RecoveryPlanTest {
    private static final long HOLD_MICROS = 5 * SECOND_MICROS;
    private static final LiveWorkBacklog UNCONFIRMED_TASK = new LiveWorkBacklog(1, 0, 0, 0);
    private static final LiveWorkBacklog UNACKNOWLEDGED_TASK = new LiveWorkBacklog(0, 0, 1, 0);

    private static final JobSpec SERVICE =
            RecoveryFixtures.job(JobSpec.Shape.SERVICE, Priority.CRITICAL, null, null, false);
    private static final JobSpec BATCH = RecoveryFixtures.batch(null, null, true);

    private static RecoveryPlan plan(long holdMicros) {
        RecoveryPlan plan = new RecoveryPlan(7, holdMicros, RecoveryTracer.NONE);
        plan.takeOverMachine("a", NORTH);
        plan.takeOverMachine("b", SOUTH_SPOT);
        return plan;
    }

    @Test
    void nothingStartsWhileTheRecordsAreRead() {
        RecoveryPlan plan = plan(HOLD_MICROS);
        assertEquals(RecoveryPhase.READING, plan.phase());
        assertFalse(plan.canStart(SERVICE));
        assertFalse(plan.canStart(BATCH));
    }

    @Test
    void servicesResumeFirstThenBatchWorkThenTheRecoveryEnds() {
        RecoveryPlan plan = plan(HOLD_MICROS);
        plan.onRecordsRead(42, 0);
        assertEquals(RecoveryPhase.RECONCILING, plan.phase());
        assertTrue(plan.canStart(SERVICE));
        assertFalse(plan.canStart(BATCH));
        plan.onCycleEnded(UNCONFIRMED_TASK);
        assertEquals(RecoveryPhase.RECONCILING, plan.phase());
        plan.onCycleEnded(UNACKNOWLEDGED_TASK);
        assertEquals(RecoveryPhase.RESUMING_LIVE, plan.phase());
        assertFalse(plan.canStart(BATCH));
        plan.onCycleEnded(LiveWorkBacklog.NONE);
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
        assertTrue(plan.canStart(BATCH));
        plan.resolveMachine("a", NORTH, "heard");
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
        plan.resolveMachine("b", SOUTH_SPOT, "lease over");
        assertEquals(RecoveryPhase.RECOVERED, plan.phase());
    }

    static List<LiveWorkBacklog> anyBacklog() {
        return List.of(
                UNCONFIRMED_TASK,
                UNACKNOWLEDGED_TASK,
                new LiveWorkBacklog(0, 1, 0, 0),
                new LiveWorkBacklog(0, 0, 0, 1));
    }

    @ParameterizedTest
    @MethodSource("anyBacklog")
    void theHoldEndsInTimeWithAnyBacklog(LiveWorkBacklog backlog) {
        RecoveryPlan plan = plan(HOLD_MICROS);
        plan.onRecordsRead(42, 100);
        plan.endHoldIfDue(100 + HOLD_MICROS - 1);
        plan.onCycleEnded(backlog);
        assertFalse(plan.canStart(BATCH));
        plan.endHoldIfDue(100 + HOLD_MICROS);
        assertTrue(plan.canStart(BATCH));
    }

    @Test
    void withoutAHoldBatchWorkStartsAtOnce() {
        RecoveryPlan plan = plan(0);
        plan.onRecordsRead(42, 0);
        assertTrue(plan.canStart(BATCH));
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
    }

    @Test
    void withoutMachinesTheRecoveryEndsAtOnce() {
        RecoveryPlan plan = new RecoveryPlan(7, HOLD_MICROS, RecoveryTracer.NONE);
        plan.onRecordsRead(1, 0);
        assertEquals(RecoveryPhase.RECOVERED, plan.phase());
        assertTrue(plan.canStart(BATCH));
    }

    /** A task is lost once no awaited machine is left that its job allows, whatever other machines are awaited. */
    @Test
    void onlyMachinesThatTheJobAllowsAreAwaited() {
        RecoveryPlan plan = plan(HOLD_MICROS);
        plan.onRecordsRead(42, 0);
        JobSpec southOnly = RecoveryFixtures.batch(null, "south", true);
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(SERVICE));
        assertTrue(plan.resolveMachine("a", NORTH, "heard"));
        assertEquals(Verdict.LOST, plan.verdictOnUnlistedTask(SERVICE));
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(BATCH));
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(southOnly));
        assertEquals(Verdict.LOST, plan.verdictOnUnlistedTask(RecoveryFixtures.batch(null, "north", true)));
    }

    /** Any machine may be listed in a part of the inventory that cannot be read. */
    @Test
    void withAnUnreadableInventoryPartAllTasksStayUnconfirmed() {
        RecoveryPlan plan = plan(HOLD_MICROS);
        plan.takeOverUnreadableParts(1);
        plan.onRecordsRead(42, 0);
        plan.resolveMachine("a", NORTH, "heard");
        plan.resolveMachine("b", SOUTH_SPOT, "heard");
        assertFalse(plan.isEveryMachineResolved());
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(SERVICE));
        plan.endHoldIfDue(HOLD_MICROS);
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
    }

    /**
     * In any order of events, phases only advance, batch work is held no longer than the time limit, and the recovery
     * ends exactly when no machine is awaited and batch work may start.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void phasesOnlyAdvanceInAnyOrderOfEvents(long seed) {
        Random random = new Random(seed);
        for (int run = 0; run < 200; run++) {
            List<RecoveryPhase> phases = new ArrayList<>();
            RecoveryPlan plan = plan(HOLD_MICROS);
            plan.onRecordsRead(1, 0);
            List<Runnable> machines = new ArrayList<>(List.of(
                    () -> plan.resolveMachine("a", NORTH, "heard"),
                    () -> plan.resolveMachine("b", SOUTH_SPOT, "heard")));
            long nowMicros = 0;
            for (int step = 0; step < 40; step++) {
                nowMicros += random.nextInt((int) SECOND_MICROS / 2);
                plan.endHoldIfDue(nowMicros);
                LiveWorkBacklog backlog =
                        new LiveWorkBacklog(random.nextInt(2), random.nextInt(2), random.nextInt(2), random.nextInt(2));
                plan.onCycleEnded(backlog);
                if (!machines.isEmpty() && random.nextInt(10) == 0) {
                    machines.remove(random.nextInt(machines.size())).run();
                }
                phases.add(plan.phase());
                assertTrue(nowMicros < HOLD_MICROS || plan.canStart(BATCH), "held beyond the time limit");
                assertEquals(
                        plan.isEveryMachineResolved() && plan.canStart(BATCH), plan.phase() == RecoveryPhase.RECOVERED);
            }
            List<RecoveryPhase> sorted = phases.stream().sorted().toList();
            assertEquals(sorted, phases);
        }
    }
}
