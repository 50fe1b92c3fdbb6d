package org.granitepath.simulation;

import static org.granitepath.simulation.RecoveryScenarios.HOLD;
import static org.granitepath.simulation.RecoveryScenarios.RESTART;
import static org.granitepath.simulation.RecoveryScenarios.busy;
import static org.granitepath.simulation.RecoveryScenarios.restart;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Restarts of all controllers with unreadable records, during other faults, or with another crash in between. */
class RecoveryFaultsTest {
    private static final long SECOND = Simulation.SECOND;

    /** An unreadable record releases no capacity, is not overwritten, and does not block other jobs. */
    @ParameterizedTest
    @ValueSource(strings = {Keys.JOB, Keys.PROGRESS, Keys.FINAL})
    void unreadableRecordIsKeptAndAffectsOnlyItsJob(String prefix) {
        Simulation simulation = busy(1);
        JobSpec job = simulation.jobs.batch(6, 300 * SECOND);
        simulation.users.submit(job);
        String key = prefix + job.id();
        String garbage = "{\"spec\":7,\"done\":\"x\",\"how\":[],\"claimed\":6}";
        Observation<Long> before = new Observation<>();
        simulation.after(RESTART, () -> {
            restart(simulation, false);
            simulation.store.plant(key, garbage);
            before.set(running(simulation, job));
        });
        simulation.run(RESTART + 100 * SECOND);

        assertTrue(before.get() > 0, "the job does not run");
        assertEquals(before.get(), running(simulation, job), "tasks of a job that can't be judged were stopped");
        assertTrue(
                simulation.commands.startsSince(RESTART).stream()
                        .noneMatch(start -> start.task().job().equals(job.id())),
                "a task of it was started");
        assertTrue(simulation.store.holds(key, garbage), "it was written over");
        assertTrue(simulation.recovery().unreadableRecords() > 0);
        simulation.run(400 * SECOND);

        assertRules(simulation);
        assertEquals(
                List.of(),
                simulation.users.unfinishedBatches().stream()
                        .filter(id -> !id.equals(job.id()))
                        .toList());
    }

    private static long running(Simulation simulation, JobSpec job) {
        return simulation.cloud.workers().stream()
                .flatMap(worker -> worker.runs().live().stream())
                .filter(run -> run.task.job().equals(job.id()))
                .count();
    }

    /** Any machine may have been in that part, so unseen tasks do not count as lost, and tasks that are seen run on. */
    @Test
    void unreadableInventoryPartKeepsRecoveryIncomplete() {
        Simulation simulation = busy(2);
        String key = Keys.INVENTORY + "0";
        simulation.after(RESTART, () -> {
            restart(simulation, false);
            simulation.store.plant(key, "{\"hosts\":[7]}");
        });
        simulation.run(RESTART + 60 * SECOND);

        RecoveryStatus status = simulation.recovery();
        assertEquals(1, status.term().machines().unreadableInventoryParts());
        assertTrue(status.phase().compareTo(RecoveryPhase.RECOVERED) < 0, status.toString());
        assertTrue(simulation.store.holds(key, "{\"hosts\":[7]}"), "it was written over");
        simulation.run(300 * SECOND);

        assertRules(simulation);
    }

    /** Jobs are cancelled and submitted just before the restart. Whatever was confirmed to users holds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void answersGivenJustBeforeTheRestartHold(long seed) {
        Simulation simulation = busy(seed);
        simulation.cancelledAtEnd = 0.3;
        List<JobSpec> shortJobs = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long at = RESTART - SECOND + i * 50_000L;
            JobSpec spec = new JobBuilder(simulation.jobs, i % 4 == 0, 4)
                    .estimate(5 * SECOND)
                    .priority(Priority.STANDARD)
                    .onSpot()
                    .create();
            shortJobs.add(spec);
            simulation.after(at, () -> simulation.users.submit(spec, spec.service() ? 20 * SECOND : -1));
        }
        simulation.after(
                RESTART - 100_000 - simulation.world.random.nextInt(400_000),
                () -> simulation.users.cancelRunning(4, 0));
        simulation.after(RESTART, () -> restart(simulation, seed % 2 == 0));
        simulation.run(RESTART + 100 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
        assertTrue(simulation.rules.cancellationsTold() > 0);
        assertTrue(shortJobs.stream().allMatch(spec -> simulation.rules.acceptedJob(spec.id())));
    }

    /**
     * While all controllers restart, the store is down, refuses two controllers, or refuses all writes. It also commits
     * some writes late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9})
    void workCompletesWhenStoreIsDownOrSlowDuringRestart(long seed) {
        Simulation simulation = busy(seed);
        simulation.after(RESTART, () -> {
            restart(simulation, false);
            switch ((int) seed % 3) {
                case 0 -> simulation.store.outage(8 * SECOND);
                case 1 ->
                    simulation.names.stream().limit(2).forEach(node -> simulation.store.refuse(node, 15 * SECOND));
                default -> simulation.names.forEach(node -> simulation.store.refuseWritesOf(node, 4 * SECOND));
            }
            simulation.store.lateWrites = 0.1;
            simulation.after(20 * SECOND, () -> simulation.store.lateWrites = 0);
        });
        simulation.run(RESTART + 30 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A fault during a recovery, with the seed of its runs. */
    private enum Trouble {
        ALL_END(17),
        LEADER_ENDS(18),
        LEADER_STANDS_STILL(19);

        private final long seed;

        Trouble(long seed) {
            this.seed = seed;
        }
    }

    /** In each phase of a recovery all controllers crash again, or only the leader crashes or pauses. */
    @ParameterizedTest
    @EnumSource(RecoveryPhase.class)
    void workCompletesWhenFaultsStrikeInEachPhase(RecoveryPhase phase) {
        for (Trouble trouble : Trouble.values()) {
            Simulation simulation = busy(trouble.seed);
            simulation.recoveryHold = phase == RecoveryPhase.RESUMING_BATCH ? SECOND : HOLD;
            simulation.after(RESTART, () -> restartAndLoseReplicas(simulation, phase));

            int met = strikeTwice(simulation, phase, trouble);

            // If no machine has capacity for the work that goes first, its phase ends within one step.
            int least = phase == RecoveryPhase.RESUMING_LIVE ? 1 : 2;
            assertTrue(met >= least, "recoveries that were met in " + phase + ", " + trouble);
            simulation.run(RESTART + 70 * SECOND, 500 * SECOND);
            assertRulesAndAllDone(simulation);
        }
    }

    private static void restartAndLoseReplicas(Simulation simulation, RecoveryPhase phase) {
        restart(simulation, false);
        int unreachable = phase == RecoveryPhase.RESUMING_LIVE ? 0 : 2;
        simulation.cloud.workers().stream()
                .limit(unreachable)
                .forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.HOLD, 20 * SECOND));
        endReplicas(simulation);
    }

    private static void endReplicas(Simulation simulation) {
        simulation.cloud.workers().forEach(worker -> worker.endTasks(JobSpec::service, ExitCause.STOPPED));
    }

    /** Runs for a minute and causes the fault the first two times that a recovery is in this phase. */
    private static int strikeTwice(Simulation simulation, RecoveryPhase phase, Trouble trouble) {
        AtomicInteger met = new AtomicInteger();
        simulation.world.run(RESTART + 60 * SECOND, () -> {
            simulation.rules.check();
            RecoveryStatus status = simulation.world.now() > RESTART ? simulation.recovery(phase) : null;
            if (status != null && met.get() < 2) {
                met.incrementAndGet();
                endReplicas(simulation);
                strike(simulation, status.node(), trouble);
            }
        });
        return met.get();
    }

    private static void strike(Simulation simulation, String leader, Trouble trouble) {
        switch (trouble) {
            case ALL_END -> simulation.faults.crashAll(SECOND);
            case LEADER_ENDS -> simulation.faults.crash(leader, 100_000);
            case LEADER_STANDS_STILL -> simulation.faults.freeze(leader, 6 * SECOND);
        }
    }

    /** Only the leader reports the recovery. Others name the leader, or report that they can't know it. */
    @Test
    void controllersReportTheirRoleAndWhenItIsUnconfirmed() {
        Simulation simulation = busy(3);
        simulation.run(RESTART);
        String leader = simulation.leader();
        assertEquals(RecoveryStatus.Role.LEADING, simulation.recoveryAt(leader).role());
        String other = simulation.names.stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
        assertEquals(RecoveryStatus.Role.FOLLOWING, simulation.recoveryAt(other).role());
        assertEquals(leader, simulation.recoveryAt(other).leader());
        simulation.faults.cut(leader, SimStore.NAME, World.Cut.DROP, 60 * SECOND);
        simulation.faults.cut(other, SimStore.NAME, World.Cut.DROP, 60 * SECOND);
        simulation.run(RESTART + 6 * SECOND);

        assertEquals(
                RecoveryStatus.Role.LEADING_UNCONFIRMED,
                simulation.recoveryAt(leader).role());
        assertEquals(RecoveryStatus.Role.UNKNOWN, simulation.recoveryAt(other).role());
        assertEquals(null, simulation.recoveryAt(other).phase());
    }
}
