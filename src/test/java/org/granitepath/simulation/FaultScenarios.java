package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;

/** Deployments, workloads and helpers that the fault tests share. */
final class FaultScenarios {
    static final long SECOND = Simulation.SECOND;

    /** Long leases, a cancellation timeout that leaves little time beside them, and few writes per second. */
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

    /** Short leases and frequent heartbeats. */
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

    /** The timing and limits for a seed: long leases for even seeds, short ones for odd seeds. */
    static SimulationConfig configOf(long seed) {
        return seed % 2 == 0 ? LONG_LEASES : SHORT_LEASES;
    }

    /** Five controllers with one machine per offer, which is too few for much work. */
    static Simulation withFewMachines(long seed) {
        return new Simulation(seed, configOf(seed).withControllers(5).withMachinesPerOffer(1));
    }

    /** The partition mode for a seed: packets are held for even seeds and dropped for odd ones. */
    static SimEnvironment.PartitionMode partitionModeOf(long seed) {
        return seed % 2 == 0 ? SimEnvironment.PartitionMode.HOLD : SimEnvironment.PartitionMode.DROP;
    }

    /** A small deployment to which users submit random jobs, from 2 s on and for the given period. */
    static Simulation withRandomJobs(long seed, int jobs, long submissionPeriodMicros) {
        return withRandomJobs(new Simulation(seed), jobs, submissionPeriodMicros);
    }

    /**
     * Lets users submit random jobs to a deployment, from 2 s on and for the given period. They cancel each service
     * 60 s after its acceptance, and each other job with a probability of one in six 12 s after its acceptance.
     */
    static Simulation withRandomJobs(Simulation simulation, int jobs, long submissionPeriodMicros) {
        for (int i = 0; i < jobs; i++) {
            simulation.after(
                    2 * SECOND + (long) (simulation.environment.random.nextDouble() * submissionPeriodMicros), () -> {
                        JobSpec spec = simulation.jobs.randomJob();
                        simulation.users.submit(
                                spec,
                                spec.isService()
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

    /** Crashes, after a delay, the controller that leads by then, and boots it again after the given time. */
    static void crashLeaderAfter(Simulation simulation, long delayMicros, long downMicros) {
        simulation.after(delayMicros, () -> simulation.faults.crash(simulation.leader(), downMicros));
    }

    /** Submits services and batch jobs of ten long tasks, so that faults occur while work is running. */
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

    /** The names of all controllers except one. */
    static List<String> otherNodes(Simulation simulation, String node) {
        return simulation.nodeNames.stream()
                .filter(other -> !other.equals(node))
                .toList();
    }

    private FaultScenarios() {}
}
