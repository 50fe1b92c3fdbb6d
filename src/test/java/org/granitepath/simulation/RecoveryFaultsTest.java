package org.granitepath.simulation;

import static org.granitepath.simulation.RecoveryScenarios.RECOVERY_HOLD_MICROS;
import static org.granitepath.simulation.RecoveryScenarios.RESTART_MICROS;
import static org.granitepath.simulation.RecoveryScenarios.busyDeployment;
import static org.granitepath.simulation.RecoveryScenarios.restartControllers;
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
    @ValueSource(strings = {Keys.JOB_PREFIX, Keys.PROGRESS_PREFIX, Keys.FINAL_PREFIX})
    void unreadableRecordIsKeptAndAffectsOnlyItsJob(String prefix) {
        Simulation simulation = busyDeployment(1);
        JobSpec job = simulation.jobs.batch(6, 300 * SECOND);
        simulation.users.submit(job);
        String key = prefix + job.id();
        String garbage = "{\"spec\":7,\"done\":\"x\",\"how\":[],\"claimed\":6}";
        Observation<Long> before = new Observation<>();
        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, false);
            simulation.store.writeExternally(key, garbage);
            before.set(running(simulation, job));
        });
        simulation.run(RESTART_MICROS + 100 * SECOND);

        assertTrue(before.get() > 0, "the job does not run");
        assertEquals(before.get(), running(simulation, job), "tasks of a job with an unreadable record were stopped");
        assertTrue(
                simulation.commands.startsSince(RESTART_MICROS).stream()
                        .noneMatch(start -> start.task().job().equals(job.id())),
                "a task of it was started");
        assertTrue(simulation.store.hasValue(key, garbage), "the record was overwritten");
        assertTrue(simulation.recoveryStatus().unreadableRecords() > 0);
        simulation.run(400 * SECOND);

        assertRules(simulation);
        assertEquals(
                List.of(),
                simulation.users.unfinishedBatchJobs().stream()
                        .filter(id -> !id.equals(job.id()))
                        .toList());
    }

    private static long running(Simulation simulation, JobSpec job) {
        return simulation.cloud.workers().stream()
                .flatMap(worker -> worker.attempts().active().stream())
                .filter(attempt -> attempt.task.job().equals(job.id()))
                .count();
    }

    /**
     * An unreadable part may have listed any machine. Tasks that no machine reports therefore do not count as lost, and
     * reported tasks run on.
     */
    @Test
    void unreadableInventoryPartKeepsRecoveryIncomplete() {
        Simulation simulation = busyDeployment(2);
        String key = Keys.INVENTORY_PREFIX + "0";
        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, false);
            simulation.store.writeExternally(key, "{\"hosts\":[7]}");
        });
        simulation.run(RESTART_MICROS + 60 * SECOND);

        RecoveryStatus status = simulation.recoveryStatus();
        assertEquals(1, status.term().machines().unreadableInventoryParts());
        assertTrue(status.phase().compareTo(RecoveryPhase.RECOVERED) < 0, status.toString());
        assertTrue(simulation.store.hasValue(key, "{\"hosts\":[7]}"), "the record was overwritten");
        simulation.run(300 * SECOND);

        assertRules(simulation);
    }

    /** Jobs are cancelled and submitted just before the restart. Whatever was confirmed to users holds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void answersGivenJustBeforeTheRestartHold(long seed) {
        Simulation simulation = busyDeployment(seed);
        simulation.cancelAtCompletionShare = 0.3;
        List<JobSpec> shortJobs = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long at = RESTART_MICROS - SECOND + i * 50_000L;
            JobSpec spec = new JobBuilder(simulation.jobs, i % 4 == 0, 4)
                    .estimate(5 * SECOND)
                    .priority(Priority.STANDARD)
                    .onSpot()
                    .build();
            shortJobs.add(spec);
            simulation.after(at, () -> simulation.users.submit(spec, spec.isService() ? 20 * SECOND : -1));
        }
        simulation.after(
                RESTART_MICROS - 100_000 - simulation.environment.random.nextInt(400_000),
                () -> simulation.users.cancelRunning(4, 0));
        simulation.after(RESTART_MICROS, () -> restartControllers(simulation, seed % 2 == 0));
        simulation.runWithLivenessChecks(RESTART_MICROS + 100 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
        assertTrue(simulation.rules.cancelledJobCount() > 0);
        assertTrue(shortJobs.stream().allMatch(spec -> simulation.rules.isAccepted(spec.id())));
    }

    /**
     * While all controllers restart, the store is down, refuses two controllers, or refuses all writes. It also commits
     * some writes late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9})
    void workCompletesWhenStoreIsDownOrSlowDuringRestart(long seed) {
        Simulation simulation = busyDeployment(seed);
        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, false);
            switch ((int) seed % 3) {
                case 0 -> simulation.store.startOutage(8 * SECOND);
                case 1 ->
                    simulation.nodeNames.stream()
                            .limit(2)
                            .forEach(node -> simulation.store.refuseRequestsOf(node, 15 * SECOND));
                default -> simulation.nodeNames.forEach(node -> simulation.store.refuseWritesOf(node, 4 * SECOND));
            }
            simulation.store.lateCommitShare = 0.1;
            simulation.after(20 * SECOND, () -> simulation.store.lateCommitShare = 0);
        });
        simulation.runWithLivenessChecks(RESTART_MICROS + 30 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A fault during a recovery, with the seed of its runs. */
    private enum Fault {
        ALL_CONTROLLERS_CRASH(17),
        LEADER_CRASHES(18),
        LEADER_PAUSES(19);

        private final long seed;

        Fault(long seed) {
            this.seed = seed;
        }
    }

    /** In each phase of a recovery all controllers crash again, or only the leader crashes or pauses. */
    @ParameterizedTest
    @EnumSource(RecoveryPhase.class)
    void workCompletesWhenFaultsStrikeInEachPhase(RecoveryPhase phase) {
        for (Fault fault : Fault.values()) {
            Simulation simulation = busyDeployment(fault.seed);
            simulation.recoveryHoldMicros = phase == RecoveryPhase.RESUMING_BATCH ? SECOND : RECOVERY_HOLD_MICROS;
            simulation.after(RESTART_MICROS, () -> restartAndLoseReplicas(simulation, phase));

            int injected = injectTwice(simulation, phase, fault);

            // If no machine has capacity for the lost replicas, the phase that restarts them ends within one step.
            int minInjected = phase == RecoveryPhase.RESUMING_LIVE ? 1 : 2;
            assertTrue(injected >= minInjected, "recoveries with an injected fault in " + phase + ", " + fault);
            simulation.runWithLivenessChecks(RESTART_MICROS + 70 * SECOND, 500 * SECOND);
            assertRulesAndAllDone(simulation);
        }
    }

    private static void restartAndLoseReplicas(Simulation simulation, RecoveryPhase phase) {
        restartControllers(simulation, false);
        int unreachable = phase == RecoveryPhase.RESUMING_LIVE ? 0 : 2;
        simulation.cloud.workers().stream()
                .limit(unreachable)
                .forEach(worker ->
                        simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.HOLD, 20 * SECOND));
        endReplicas(simulation);
    }

    private static void endReplicas(Simulation simulation) {
        simulation.cloud.workers().forEach(worker -> worker.endTasks(JobSpec::isService, ExitCause.STOPPED));
    }

    /** Runs for a minute and causes the fault the first two times that a recovery is in this phase. */
    private static int injectTwice(Simulation simulation, RecoveryPhase phase, Fault fault) {
        AtomicInteger injected = new AtomicInteger();
        simulation.environment.run(RESTART_MICROS + 60 * SECOND, () -> {
            simulation.rules.check();
            RecoveryStatus status = simulation.environment.nowMicros() > RESTART_MICROS
                    ? simulation.recoveryStatusInPhase(phase)
                    : null;
            if (status != null && injected.get() < 2) {
                injected.incrementAndGet();
                endReplicas(simulation);
                inject(simulation, status.node(), fault);
            }
        });
        return injected.get();
    }

    private static void inject(Simulation simulation, String leader, Fault fault) {
        switch (fault) {
            case ALL_CONTROLLERS_CRASH -> simulation.faults.crashAll(SECOND);
            case LEADER_CRASHES -> simulation.faults.crash(leader, 100_000);
            case LEADER_PAUSES -> simulation.faults.pause(leader, 6 * SECOND);
        }
    }

    /** Only the leader reports the recovery. Others name the leader, or report that they can't know it. */
    @Test
    void controllersReportTheirRoleAndWhenItIsUnconfirmed() {
        Simulation simulation = busyDeployment(3);
        simulation.run(RESTART_MICROS);
        String leader = simulation.leader();
        assertEquals(
                RecoveryStatus.Role.LEADING, simulation.recoveryStatusAt(leader).role());
        String other = simulation.nodeNames.stream()
                .filter(node -> !node.equals(leader))
                .findFirst()
                .orElseThrow();
        assertEquals(
                RecoveryStatus.Role.FOLLOWING,
                simulation.recoveryStatusAt(other).role());
        assertEquals(leader, simulation.recoveryStatusAt(other).leader());
        simulation.faults.partition(leader, SimStore.NAME, SimEnvironment.PartitionMode.DROP, 60 * SECOND);
        simulation.faults.partition(other, SimStore.NAME, SimEnvironment.PartitionMode.DROP, 60 * SECOND);
        simulation.run(RESTART_MICROS + 6 * SECOND);

        assertEquals(
                RecoveryStatus.Role.LEADING_UNCONFIRMED,
                simulation.recoveryStatusAt(leader).role());
        assertEquals(
                RecoveryStatus.Role.UNKNOWN, simulation.recoveryStatusAt(other).role());
        assertEquals(null, simulation.recoveryStatusAt(other).phase());
    }
}
