package org.granitepath.recovery;

import static org.granitepath.recovery.RecoveryFixtures.NORTH;
import static org.granitepath.recovery.RecoveryFixtures.SECOND;
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

/** Which work may start in each phase of a recovery, and what ends the phase. */
class RecoveryPlanTest {
    private static final long HOLD = 5 * SECOND;
    private static final LiveWorkBacklog DOUBT = new LiveWorkBacklog(1, 0, 0, 0);
    private static final LiveWorkBacklog UNSEEN = new LiveWorkBacklog(0, 0, 1, 0);

    private static final JobSpec SERVICE =
            RecoveryFixtures.job(JobSpec.Shape.SERVICE, Priority.CRITICAL, null, null, false);
    private static final JobSpec BATCH = RecoveryFixtures.batch(null, null, true);

    private static RecoveryPlan plan(long hold) {
        RecoveryPlan plan = new RecoveryPlan(7, hold, RecoveryTracer.NONE);
        plan.takeOverMachine("a", NORTH);
        plan.takeOverMachine("b", SOUTH_SPOT);
        return plan;
    }

    @Test
    void nothingStartsWhileTheRecordsAreRead() {
        RecoveryPlan plan = plan(HOLD);
        assertEquals(RecoveryPhase.READING, plan.phase());
        assertFalse(plan.canStart(SERVICE));
        assertFalse(plan.canStart(BATCH));
    }

    @Test
    void servicesFirstThenTheRestThenRecovered() {
        RecoveryPlan plan = plan(HOLD);
        plan.onRecordsRead(42, 0);
        assertEquals(RecoveryPhase.RECONCILING, plan.phase());
        assertTrue(plan.canStart(SERVICE));
        assertFalse(plan.canStart(BATCH));
        plan.onCycleEnded(DOUBT);
        assertEquals(RecoveryPhase.RECONCILING, plan.phase());
        plan.onCycleEnded(UNSEEN);
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

    static List<LiveWorkBacklog> anythingLeft() {
        return List.of(DOUBT, UNSEEN, new LiveWorkBacklog(0, 1, 0, 0), new LiveWorkBacklog(0, 0, 0, 1));
    }

    @ParameterizedTest
    @MethodSource("anythingLeft")
    void theHoldEndsInTimeWhateverIsLeft(LiveWorkBacklog left) {
        RecoveryPlan plan = plan(HOLD);
        plan.onRecordsRead(42, 100);
        plan.endHoldIfDue(100 + HOLD - 1);
        plan.onCycleEnded(left);
        assertFalse(plan.canStart(BATCH));
        plan.endHoldIfDue(100 + HOLD);
        assertTrue(plan.canStart(BATCH));
    }

    @Test
    void withoutAHoldNothingWaits() {
        RecoveryPlan plan = plan(0);
        plan.onRecordsRead(42, 0);
        assertTrue(plan.canStart(BATCH));
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
    }

    @Test
    void withoutMachinesThereIsNothingToRecover() {
        RecoveryPlan plan = new RecoveryPlan(7, HOLD, RecoveryTracer.NONE);
        plan.onRecordsRead(1, 0);
        assertEquals(RecoveryPhase.RECOVERED, plan.phase());
        assertTrue(plan.canStart(BATCH));
    }

    /** A task is lost once no machine is left that its job may use, whatever others are still awaited. */
    @Test
    void onlyMachinesThatTheJobMayUseAreWaitedFor() {
        RecoveryPlan plan = plan(HOLD);
        plan.onRecordsRead(42, 0);
        JobSpec inTheSouth = RecoveryFixtures.batch(null, "south", true);
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(SERVICE));
        assertTrue(plan.resolveMachine("a", NORTH, "heard"));
        assertEquals(Verdict.LOST, plan.verdictOnUnlistedTask(SERVICE));
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(BATCH));
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(inTheSouth));
        assertEquals(Verdict.LOST, plan.verdictOnUnlistedTask(RecoveryFixtures.batch(null, "north", true)));
    }

    /** Any machine may be in a part of the inventory that can't be read. */
    @Test
    void anUnreadablePartOfTheInventoryLeavesAllUnconfirmed() {
        RecoveryPlan plan = plan(HOLD);
        plan.takeOverUnreadableParts(1);
        plan.onRecordsRead(42, 0);
        plan.resolveMachine("a", NORTH, "heard");
        plan.resolveMachine("b", SOUTH_SPOT, "heard");
        assertFalse(plan.isEveryMachineResolved());
        assertEquals(Verdict.UNCONFIRMED, plan.verdictOnUnlistedTask(SERVICE));
        plan.endHoldIfDue(HOLD);
        assertEquals(RecoveryPhase.RESUMING_BATCH, plan.phase());
    }

    /** Any order of events: phases only go forward, and other work never starts before the hold has a reason to end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void anyOrderOfEvents(long seed) {
        Random random = new Random(seed);
        for (int run = 0; run < 200; run++) {
            List<RecoveryPhase> phases = new ArrayList<>();
            RecoveryPlan plan = plan(HOLD);
            plan.onRecordsRead(1, 0);
            List<Runnable> machines = new ArrayList<>(List.of(
                    () -> plan.resolveMachine("a", NORTH, "heard"),
                    () -> plan.resolveMachine("b", SOUTH_SPOT, "heard")));
            long now = 0;
            for (int step = 0; step < 40; step++) {
                now += random.nextInt((int) SECOND / 2);
                plan.endHoldIfDue(now);
                LiveWorkBacklog left =
                        new LiveWorkBacklog(random.nextInt(2), random.nextInt(2), random.nextInt(2), random.nextInt(2));
                plan.onCycleEnded(left);
                if (!machines.isEmpty() && random.nextInt(10) == 0) {
                    machines.remove(random.nextInt(machines.size())).run();
                }
                phases.add(plan.phase());
                assertTrue(now < HOLD || plan.canStart(BATCH), "held beyond the bound");
                assertEquals(
                        plan.isEveryMachineResolved() && plan.canStart(BATCH), plan.phase() == RecoveryPhase.RECOVERED);
            }
            List<RecoveryPhase> sorted = phases.stream().sorted().toList();
            assertEquals(sorted, phases);
        }
    }
}
