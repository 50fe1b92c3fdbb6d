package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;

/** Deployments, long work and helpers that the tests of faults share. */
final class FaultScenarios {
    static final long SECOND = Simulation.SECOND;

    /** Long leases, little time beside them for what a cancellation takes, and few writes. */
    static final SimulationConfig LONG_LEASES = SimulationConfig.small()
            .withControllers(5)
            .withMachinesPerOffer(4)
            .withHeartbeatInterval(3 * SECOND)
            .withLease(27 * SECOND)
            .withCancellationTimeout(52 * SECOND)
            .withRequestsPerSecond(150)
            .withWritesPerSecond(18)
            .withValueBytes(8 * 1024)
            .withMaxConnections(1_500);

    /** Short leases, and heartbeats that come often. */
    static final SimulationConfig SHORT_LEASES = SimulationConfig.small()
            .withControllers(5)
            .withMachinesPerOffer(4)
            .withHeartbeatInterval(2 * SECOND)
            .withLease(13 * SECOND)
            .withCancellationTimeout(33 * SECOND)
            .withRequestsPerSecond(300)
            .withWritesPerSecond(90)
            .withValueBytes(32 * 1024)
            .withTransactionChanges(16)
            .withMaxConnections(2_000);

    static Simulation simulation(long seed) {
        return new Simulation(seed, configOf(seed));
    }

    /** The times and limits that go with a seed. */
    static SimulationConfig configOf(long seed) {
        return seed % 2 == 0 ? LONG_LEASES : SHORT_LEASES;
    }

    /** Five controllers and a few machines, too few for much work. */
    static Simulation withFewMachines(long seed) {
        return new Simulation(seed, configOf(seed).withControllers(5).withMachinesPerOffer(1));
    }

    /** What a cut does with packets under way, with half of the seeds the one, with half the other. */
    static SimEnvironment.PartitionMode partitionModeOf(long seed) {
        return seed % 2 == 0 ? SimEnvironment.PartitionMode.HOLD : SimEnvironment.PartitionMode.DROP;
    }

    /** A small deployment, to which users submit this many random jobs until this time. */
    static Simulation withRandomJobs(long seed, int jobs, long submissionPeriodMicros) {
        return withRandomJobs(new Simulation(seed), jobs, submissionPeriodMicros);
    }

    /** The same in this deployment. Services are cancelled after a minute, other work at times. */
    static Simulation withRandomJobs(Simulation simulation, int jobs, long submissionPeriodMicros) {
        for (int i = 0; i < jobs; i++) {
            simulation.after(
                    2 * SECOND + (long) (simulation.environment.random.nextDouble() * submissionPeriodMicros), () -> {
                        JobSpec spec = simulation.jobs.randomJob();
                        simulation.users.submit(
                                spec,
                                spec.service()
                                        ? 60 * SECOND
                                        : simulation.environment.random.nextInt(6) == 0 ? 12 * SECOND : -1);
                        simulation.users.pollUnknownJob();
                    });
        }
        return simulation;
    }

    static void submitServices(Simulation simulation, int count, int replicas) {
        for (int i = 0; i < count; i++) {
            simulation.users.submit(simulation.jobs.service(replicas));
        }
    }

    static void submitBatches(Simulation simulation, int count, int tasks, long runMicros) {
        for (int i = 0; i < count; i++) {
            simulation.users.submit(simulation.jobs.batch(tasks, runMicros));
        }
    }

    /** So much later than now whoever leads then ends, and comes back after a while. */
    static void crashLeaderAfter(Simulation simulation, long delayMicros, long downMicros) {
        simulation.after(delayMicros, () -> simulation.faults.crash(simulation.leader(), downMicros));
    }

    /** Services and wide jobs with long tasks, so that whatever happens meets work that runs. */
    static List<JobSpec> submitLongRunningJobs(Simulation simulation, int services, int batches, long runMicros) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            jobs.add(simulation.jobs.service(4));
        }
        for (int i = 0; i < batches; i++) {
            jobs.add(simulation.jobs.batch(10, runMicros));
        }
        jobs.forEach(job -> simulation.users.submit(job));
        return jobs;
    }

    /** The controllers but this one. */
    static List<String> otherNodes(Simulation simulation, String node) {
        return simulation.nodeNames.stream()
                .filter(other -> !other.equals(node))
                .toList();
    }

    private FaultScenarios() {}
}
