package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** All controllers end and come back while records can't be read, other troubles strike, or they end once more. */
class RecoveryTroublesTest {
    private static final long SECOND = Simulation.SECOND;
    private static final long RESTART = RecoveryTest.RESTART;
    private static final long HOLD = RecoveryTest.HOLD;

    // ---- records ----------------------------------------------------------------------------------------------

    /** What can't be read frees nothing, is not written over, and does not stop the rest. */
    @ParameterizedTest
    @ValueSource(strings = {Keys.JOB, Keys.PROGRESS, Keys.FINAL})
    void recordsThatCannotBeRead(String prefix) {
        Simulation s = RecoveryTest.busy(1);
        JobSpec job = s.jobs.job(false, 6, Priority.STANDARD, "free", true, false, false, 300 * SECOND, 0);
        s.users.submit(job, -1);
        String key = prefix + job.id();
        String garbage = "{\"spec\":7,\"done\":\"x\",\"how\":[],\"claimed\":6}";
        long[] before = new long[1];
        s.world.after(RESTART, () -> {
            RecoveryTest.restart(s, false);
            s.store.plant(key, garbage);
            before[0] = running(s, job);
        });
        s.run(RESTART + 100 * SECOND);
        assertTrue(before[0] > 0, "the job does not run");
        assertEquals(before[0], running(s, job), "tasks of a job that can't be judged were stopped");
        assertTrue(
                s.commands.startsSince(RESTART).stream()
                        .noneMatch(start -> start.task().job().equals(job.id())),
                "a task of it was started");
        assertTrue(s.store.holds(key, garbage), "it was written over");
        assertTrue(s.recovery().unreadableRecords() > 0);
        s.run(400 * SECOND);
        assertRules(s);
        assertEquals(
                List.of(),
                s.users.unfinishedBatches().stream()
                        .filter(id -> !id.equals(job.id()))
                        .toList());
    }

    private static long running(Simulation s, JobSpec job) {
        return s.cloud.workers().stream()
                .flatMap(w -> w.runs().live().stream())
                .filter(run -> run.task.job().equals(job.id()))
                .count();
    }

    /** Any machine may have been in it: nothing that is not seen counts as lost, and what is seen goes on. */
    @Test
    void aPartOfTheInventoryThatCannotBeRead() {
        Simulation s = RecoveryTest.busy(2);
        String key = Keys.INVENTORY + "0";
        s.world.after(RESTART, () -> {
            RecoveryTest.restart(s, false);
            s.store.plant(key, "{\"hosts\":[7]}");
        });
        s.run(RESTART + 60 * SECOND);
        RecoveryStatus status = s.recovery();
        assertEquals(1, status.term().machines().unreadableInventoryParts());
        assertTrue(status.phase().compareTo(RecoveryPhase.RECOVERED) < 0, status.toString());
        assertTrue(s.store.holds(key, "{\"hosts\":[7]}"), "it was written over");
        s.run(300 * SECOND);
        assertRules(s);
    }

    /** Cancelled at the very moment, submitted at the very moment: what was confirmed holds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void cancelledAndSubmittedJustBefore(long seed) {
        Simulation s = RecoveryTest.busy(seed);
        s.cancelledAtEnd = 0.3;
        List<JobSpec> short_ = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long at = RESTART - SECOND + i * 50_000L;
            JobSpec spec = s.jobs.job(i % 4 == 0, 4, Priority.STANDARD, "free", true, false, false, 5 * SECOND, 0);
            short_.add(spec);
            s.world.after(at, () -> s.users.submit(spec, spec.service() ? 20 * SECOND : -1));
        }
        s.world.after(RESTART - 100_000 - s.world.random.nextInt(400_000), () -> s.users.cancelRunning(4, 0));
        s.world.after(RESTART, () -> RecoveryTest.restart(s, seed % 2 == 0));
        s.run(RESTART + 100 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
        assertTrue(s.rules.cancellationsTold() > 0);
        assertTrue(short_.stream().allMatch(spec -> s.rules.acceptedJob(spec.id())));
    }

    // ---- troubles meanwhile ------------------------------------------------------------------------------------

    /** The store is away, refuses one controller, or answers late while all restart. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9})
    void theStateServiceIsAwayOrSlow(long seed) {
        Simulation s = RecoveryTest.busy(seed);
        s.world.after(RESTART, () -> {
            RecoveryTest.restart(s, false);
            switch ((int) seed % 3) {
                case 0 -> s.store.outage(8 * SECOND);
                case 1 -> s.names.stream().limit(2).forEach(n -> s.store.refuse(n, 15 * SECOND));
                default -> s.names.forEach(n -> s.store.refuseWritesOf(n, 4 * SECOND));
            }
            s.store.lateWrites = 0.1;
            s.world.after(20 * SECOND, () -> s.store.lateWrites = 0);
        });
        s.run(RESTART + 30 * SECOND, 500 * SECOND);
        assertRulesAndAllDone(s);
    }

    /** In each phase of a recovery everybody ends once more, or the leader alone, or it stands still. */
    @ParameterizedTest
    @EnumSource(RecoveryPhase.class)
    void endedAgainInEachPhase(RecoveryPhase phase) {
        for (int how = 0; how < 3; how++) {
            Simulation s = RecoveryTest.busy(17 + how);
            int blow = how;
            s.recoveryHold = phase == RecoveryPhase.RESUMING_BATCH ? SECOND : HOLD;
            s.world.after(RESTART, () -> {
                RecoveryTest.restart(s, false);
                int silent = phase == RecoveryPhase.RESUMING_LIVE ? 0 : 2;
                s.cloud.workers().stream()
                        .limit(silent)
                        .forEach(w -> s.faults.cutMachine(w, World.Cut.HOLD, 20 * SECOND));
                s.cloud.workers().forEach(w -> w.endTasks(spec -> spec.service(), Cause.STOPPED));
            });
            Map<RecoveryPhase, Integer> ended = new EnumMap<>(RecoveryPhase.class);
            s.world.run(RESTART + 60 * SECOND, () -> {
                s.rules.check();
                RecoveryStatus status = s.world.now() > RESTART ? s.recovery(phase) : null;
                if (status != null && ended.getOrDefault(phase, 0) < 2) {
                    ended.merge(phase, 1, Integer::sum);
                    s.cloud.workers().forEach(w -> w.endTasks(spec -> spec.service(), Cause.STOPPED));
                    switch (blow) {
                        case 0 -> s.faults.crashAll(SECOND);
                        case 1 -> s.faults.crash(status.node(), 100_000);
                        default -> s.faults.freeze(status.node(), 6 * SECOND);
                    }
                }
            });
            // Where no machine has capacity for what goes first, its phase is over within one step.
            int least = phase == RecoveryPhase.RESUMING_LIVE ? 1 : 2;
            assertTrue(ended.getOrDefault(phase, 0) >= least, "recoveries that were met in " + phase + ", " + how);
            s.run(RESTART + 70 * SECOND, 500 * SECOND);
            assertRulesAndAllDone(s);
        }
    }

    /** Only the leader tells of the recovery; others name it, and one that can't know says so. */
    @Test
    void controllersThatCannotTellSaySo() {
        Simulation s = RecoveryTest.busy(3);
        s.run(RESTART);
        String leader = s.leader();
        assertEquals(RecoveryStatus.Role.LEADING, s.recoveryAt(leader).role());
        String other =
                s.names.stream().filter(n -> !n.equals(leader)).findFirst().orElseThrow();
        assertEquals(RecoveryStatus.Role.FOLLOWING, s.recoveryAt(other).role());
        assertEquals(leader, s.recoveryAt(other).leader());
        s.faults.cut(leader, SimStore.NAME, World.Cut.DROP, 60 * SECOND);
        s.faults.cut(other, SimStore.NAME, World.Cut.DROP, 60 * SECOND);
        s.run(RESTART + 6 * SECOND);
        assertEquals(
                RecoveryStatus.Role.LEADING_UNCONFIRMED, s.recoveryAt(leader).role());
        assertEquals(RecoveryStatus.Role.UNKNOWN, s.recoveryAt(other).role());
        assertEquals(null, s.recoveryAt(other).phase());
    }
}
