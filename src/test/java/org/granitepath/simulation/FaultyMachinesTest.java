package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines that fail every task, and jobs that fail on every machine. */
class FaultyMachinesTest {
    private static final long SECOND = Simulation.SECOND;
    private static final int FAULTY_MACHINES = 6;
    /** A machine counts as faulty after two failed tasks. More may have been started when the second one failed. */
    private static final int MAX_FAILURES_PER_MACHINE = 4;
    /** Half of the shorter boot time: a machine that is returned sooner after its last task is not returned as idle. */
    private static final long MIN_IDLE_TIMEOUT_MICROS = 5 * SECOND / 2;
    /** Replicas of one CPU; the two machines have 20 CPUs, and neither can hold all replicas. */
    private static final int REPLICAS_ON_ALL_MACHINES_OF_ZONE = 17;
    /** No job may be left waiting for longer while a machine that fits has capacity. */
    private static final long MAX_WAIT_BESIDE_CAPACITY_MICROS = 90 * SECOND;

    private static JobSpec job(Simulation simulation, int tasks) {
        return simulation.jobs.withoutDeadline(simulation.jobs.batch(tasks, 15 * SECOND));
    }

    /**
     * Many machines become faulty at once. Each is detected after a few tasks, and no job is delayed for long by them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void faultyMachinesAreDetectedAfterFewFailures(long seed) {
        Simulation simulation = new Simulation(seed, 3, 4);
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec next = job(simulation, 7);
            simulation.after(2L * i * SECOND, () -> simulation.users.submit(next));
            if (i >= 20) {
                jobs.add(next);
            }
        }
        List<SimWorker> faulty = new ArrayList<>();
        simulation.after(38 * SECOND, () -> {
            faulty.addAll(
                    simulation.cloud.workers().stream().limit(FAULTY_MACHINES).toList());
            faulty.forEach(SimWorker::becomeFaulty);
        });
        simulation.run(220 * SECOND);

        assertRules(simulation);
        int failures = faulty.stream().mapToInt(SimWorker::failureCount).sum();
        assertTrue(failures >= FAULTY_MACHINES / 2, failures + " failures");
        for (SimWorker worker : faulty) {
            assertTrue(
                    worker.failedTaskCount() <= MAX_FAILURES_PER_MACHINE,
                    worker.failedTaskCount() + " tasks failed on " + worker.id);
        }
        for (JobSpec job : jobs) {
            assertTrue(
                    simulation.rules.finishDelayMicros(job.id()) < 60 * SECOND,
                    "done after " + simulation.rules.finishDelayMicros(job.id()) / 1e6);
        }
    }

    /** Jobs that fail on every machine are retried less and less often, and hardly any machine is returned for them. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void jobsThatFailEverywhereCostNoMachines(long seed) {
        Simulation simulation = new Simulation(seed, 3, 2);
        for (int i = 0; i < 45; i++) {
            simulation.after(4L * i * SECOND, () -> simulation.users.submit(job(simulation, 8)));
        }
        List<SimWorker> machinesBefore = new ArrayList<>();
        simulation.after(40 * SECOND, () -> {
            machinesBefore.addAll(simulation.cloud.workers());
            for (int i = 0; i < 2; i++) {
                JobSpec broken = job(simulation, 8);
                simulation.brokenJobs.add(broken.id());
                simulation.users.submit(broken);
            }
        });
        simulation.run(180 * SECOND);

        assertRules(simulation);
        int failures = simulation.cloud.workers().stream()
                .mapToInt(SimWorker::failedTaskCount)
                .sum();
        assertTrue(failures >= 10 && failures < 50, failures + " failures");
        long returned = machinesBefore.stream()
                .filter(worker -> worker.diedWithin(MIN_IDLE_TIMEOUT_MICROS))
                .count();
        assertTrue(returned <= 2, returned + " of " + machinesBefore.size() + " machines were returned to the cloud");
    }

    /**
     * A job that fails wherever it runs is excluded from each machine of its zone. Like jobs behind it in the queue,
     * which never failed, waited for as long as it did.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void jobThatFailsEverywhereDoesNotBlockLikeJobs(long seed) {
        Simulation simulation = withServicesOnAllMachinesOfZone(seed);
        JobSpec broken = jobInZone(simulation);
        simulation.brokenJobs.add(broken.id());
        simulation.after(40 * SECOND, () -> simulation.users.submit(broken));
        List<JobSpec> sound = new ArrayList<>();
        simulation.after(60 * SECOND, () -> {
            for (int i = 0; i < 3; i++) {
                sound.add(jobInZone(simulation));
                simulation.users.submit(sound.get(i));
            }
        });
        simulation.run(200 * SECOND);

        assertRules(simulation);
        assertDoneWithin(MAX_WAIT_BESIDE_CAPACITY_MICROS, sound, simulation);
    }

    /**
     * All machines of a zone are faulty for a while and hold services, and the cloud has no others. They were never
     * used again, though they worked, since they were drained and never empty.
     */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void machinesWithServicesAreUsedAgainOnceTheyWork(long seed) {
        Simulation simulation = withServicesOnAllMachinesOfZone(seed);
        List<SimWorker> faulty = new ArrayList<>();
        simulation.after(60 * SECOND, () -> {
            simulation.cloud.workers().stream()
                    .filter(FaultyMachinesTest::holdsTasks)
                    .forEach(faulty::add);
            faulty.forEach(SimWorker::becomeFaulty);
        });
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            simulation.after((62 + i) * SECOND, () -> {
                JobSpec job = jobInZone(simulation);
                jobs.add(job);
                simulation.users.submit(job);
            });
        }
        simulation.after(90 * SECOND, () -> faulty.forEach(SimWorker::recover));
        simulation.runWithLivenessChecks(90 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
        int failures = faulty.stream().mapToInt(SimWorker::failedTaskCount).sum();
        assertTrue(failures >= 2, failures + " failures");
        assertDoneWithin(MAX_WAIT_BESIDE_CAPACITY_MICROS + 30 * SECOND, jobs, simulation);
    }

    private static boolean holdsTasks(SimWorker worker) {
        return worker.attempts().hasRunningTask();
    }

    /**
     * Returns a deployment whose cloud has one small and one large machine in each zone, on demand. Services keep both
     * machines of zone "north" and leave capacity for one task of {@link #jobInZone}.
     */
    private static Simulation withServicesOnAllMachinesOfZone(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < REPLICAS_ON_ALL_MACHINES_OF_ZONE; i++) {
            simulation.users.submit(
                    simulation.jobs.serviceBuilder(1).inZone("north").build());
        }
        return simulation;
    }

    private static JobSpec jobInZone(Simulation simulation) {
        return simulation
                .jobs
                .batchBuilder(1, 5 * SECOND)
                .inZone("north")
                .withoutDeadline()
                .build();
    }

    private static void assertDoneWithin(long micros, List<JobSpec> jobs, Simulation simulation) {
        for (JobSpec job : jobs) {
            long delayMicros = simulation.rules.finishDelayMicros(job.id());
            assertTrue(delayMicros < micros, job.id() + " done after " + delayMicros / 1e6 + " s");
        }
    }
}
