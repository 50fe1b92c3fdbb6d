package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;

/** A small deployment with one gang job, which tests run up to the moment at which they inject a fault. */
final class GangScenario {
    private static final long SECOND = Simulation.SECOND;
    private static final long LATEST_START_MICROS = 120 * SECOND;

    private final Simulation simulation;
    private final JobSpec spec;

    private GangScenario(Simulation simulation, JobSpec spec) {
        this.simulation = simulation;
        this.spec = spec;
    }

    /** The spec of a gang job in one zone, of the team without limits. */
    static JobSpec gangSpec(Simulation simulation, int tasks, boolean spot, long runMicros, long checkpointMicros) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(tasks, runMicros)
                .onSpot(spot)
                .inOneZone()
                .checkpointEvery(checkpointMicros)
                .build();
    }

    /** A gang that may use spot machines, with capacity for another attempt on other machines. */
    static GangScenario onSpotMachines(long seed, int tasks, long runMicros, long checkpointMicros) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = gangSpec(simulation, tasks, true, runMicros, checkpointMicros);
        simulation.run(SECOND);
        simulation.users.submit(spec);
        return new GangScenario(simulation, spec);
    }

    /**
     * A gang on several machines. A small gang would fit on one machine, so services first take most of the capacity of
     * each.
     */
    static GangScenario onSeveralMachines(long seed, int tasks, long runMicros) {
        Simulation simulation = new Simulation(seed);
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(
                    simulation.jobs.withCpu(simulation.jobs.serviceBuilder(1).build(), 1, 11_000));
        }
        simulation.run(30 * SECOND);
        JobSpec spec = gangSpec(simulation, tasks, false, runMicros, 3 * SECOND);
        simulation.users.submit(spec);
        return new GangScenario(simulation, spec);
    }

    Simulation simulation() {
        return simulation;
    }

    /** The id of the gang's job. */
    String jobId() {
        return spec.id();
    }

    /** The workers with tasks of the gang that have not exited. */
    List<SimWorker> workersWithTasks() {
        return simulation.cloud.workers().stream()
                .filter(worker -> worker.attempts().taskCountsByJob().containsKey(spec.id()))
                .toList();
    }

    int heldTaskCount() {
        return workersWithTasks().stream()
                .mapToInt(worker -> worker.attempts().taskCountsByJob().get(spec.id()))
                .sum();
    }

    /** How many attempts of the gang there have been. */
    long attemptCount() {
        return simulation.gangs.attemptCount(spec.id());
    }

    void runFor(long micros) {
        simulation.run(simulation.environment.nowMicros() + micros);
    }

    /** Runs until each task of the gang is on a machine, possibly still fetching its image. */
    void runUntilPlaced() {
        while (heldTaskCount() < spec.tasks()) {
            runFor(SECOND / 10);
            assertTrue(simulation.environment.nowMicros() < LATEST_START_MICROS, "the gang is not started");
        }
    }

    /** Runs until all tasks of the gang run. */
    void runUntilRunning() {
        while (!simulation.gangs.isRunning(spec.id())) {
            runFor(SECOND / 10);
            assertTrue(simulation.environment.nowMicros() < LATEST_START_MICROS, "the gang does not run");
        }
    }
}
