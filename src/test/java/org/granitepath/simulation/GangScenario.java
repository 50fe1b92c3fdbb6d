package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;

/** A small deployment to which one gang is submitted, and the moments at which troubles may strike it. */
final class GangScenario {
    private static final long SECOND = Simulation.SECOND;
    private static final long LATEST_START_MICROS = 120 * SECOND;

    private final Simulation simulation;
    private final JobSpec spec;

    private GangScenario(Simulation simulation, JobSpec spec) {
        this.simulation = simulation;
        this.spec = spec;
    }

    /** A gang of work for the team without limits. */
    static JobSpec gangSpec(Simulation simulation, int tasks, boolean spot, long runMicros, long checkpointMicros) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(tasks, runMicros)
                .onSpot(spot)
                .inOneZone()
                .checkpointEvery(checkpointMicros)
                .build();
    }

    /** A gang that may use spot machines, with capacity for another attempt elsewhere. */
    static GangScenario onSpotMachines(long seed, int tasks, long runMicros, long checkpointMicros) {
        Simulation simulation = new Simulation(seed);
        JobSpec spec = gangSpec(simulation, tasks, true, runMicros, checkpointMicros);
        simulation.run(SECOND);
        simulation.users.submit(spec);
        return new GangScenario(simulation, spec);
    }

    /** Small gangs fit one machine: a service that fills most of each makes the gang take several. */
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

    /** The machines that hold tasks of the gang, on their way or at work. */
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

    /** How many attempts there have been. */
    long attemptCount() {
        return simulation.gangs.attemptCount(spec.id());
    }

    void runFor(long micros) {
        simulation.run(simulation.environment.nowMicros() + micros);
    }

    /** Until each task is on a machine; it may be fetching its image. */
    void runUntilPlaced() {
        while (heldTaskCount() < spec.tasks()) {
            runFor(SECOND / 10);
            assertTrue(simulation.environment.nowMicros() < LATEST_START_MICROS, "the gang is not started");
        }
    }

    /** Until the gang works. */
    void runUntilRunning() {
        while (!simulation.gangs.isRunning(spec.id())) {
            runFor(SECOND / 10);
            assertTrue(simulation.environment.nowMicros() < LATEST_START_MICROS, "the gang does not run");
        }
    }
}
