package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.submitLongRunningJobs;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Pairs of faults that occur close in time, drawn from a seed. */
class RandomFaultPairsTest {
    /**
     * The seeds: 16 from 0 on in every build. {@code -Dgranitepath.pairs=N} and {@code -Dgranitepath.firstpair=S}
     * select another number and first seed, {@code -Dgranitepath.pair=S} a single seed.
     */
    static LongStream seeds() {
        Long one = Long.getLong("granitepath.pair");
        long first = Long.getLong("granitepath.firstpair", 0);
        return one != null
                ? LongStream.of(one)
                : LongStream.range(first, first + Long.getLong("granitepath.pairs", 16));
    }

    /** Two random faults occur close in time, three times in a run. */
    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldUnderAnyTwoFaults(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 35, 150 * SECOND);
        submitLongRunningJobs(simulation, 4, 4, 60 * SECOND);
        // The guarantees and limits of these teams take effect: capacity is lent and reclaimed during the faults.
        for (int i = 0; i < 10; i++) {
            simulation.after((5 + 14 * i) * SECOND, () -> {
                int tasks = 1 + simulation.environment.random.nextInt(8);
                String team = simulation.environment.random.nextBoolean() ? "granted" : "lender";
                simulation.users.submit(simulation
                        .jobs
                        .batchBuilder(tasks, 15 * SECOND)
                        .team(team)
                        .onSpot()
                        .build());
            });
        }
        List<Consumer<Simulation>> allFaults = allFaults();
        for (int i = 0; i < 3; i++) {
            long at = (30 + 55 * i) * SECOND + simulation.environment.random.nextInt(8_000_000);
            Consumer<Simulation> one = allFaults.get(simulation.environment.random.nextInt(allFaults.size()));
            Consumer<Simulation> other = allFaults.get(simulation.environment.random.nextInt(allFaults.size()));
            simulation.after(at, () -> one.accept(simulation));
            simulation.after(at + simulation.environment.random.nextInt(6_000_000), () -> other.accept(simulation));
        }
        simulation.runWithLivenessChecks(250 * SECOND, 650 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    private static long randomDuration(Simulation simulation) {
        return (2 + simulation.environment.random.nextInt(40)) * SECOND;
    }

    private static SimEnvironment.PartitionMode randomPartitionMode(Simulation simulation) {
        return simulation.environment.random.nextBoolean()
                ? SimEnvironment.PartitionMode.HOLD
                : SimEnvironment.PartitionMode.DROP;
    }

    private static void forSomeMachines(Simulation simulation, Consumer<SimWorker> action) {
        List<SimWorker> all = simulation.cloud.workers();
        int every = 2 + simulation.environment.random.nextInt(4);
        for (int i = 0; i < all.size(); i += every) {
            action.accept(all.get(i));
        }
    }

    /** All faults. Their order has to stay the same, since a seed selects them by index. */
    private static List<Consumer<Simulation>> allFaults() {
        return Stream.of(controllerAndLinkFaults(), messageFaults(), machineFaults())
                .flatMap(List::stream)
                .toList();
    }

    private static List<Consumer<Simulation>> controllerAndLinkFaults() {
        return List.of(
                simulation -> simulation.faults.crash(
                        simulation.leader(), 200_000 + simulation.environment.random.nextInt(6_000_000)),
                simulation -> simulation.nodeNames.forEach(node ->
                        simulation.faults.crash(node, 200_000 + simulation.environment.random.nextInt(30_000_000))),
                simulation -> simulation.store.refuseRequestsOf(simulation.leader(), randomDuration(simulation)),
                simulation -> simulation.store.startOutage(
                        randomDuration(simulation) + simulation.config.cancellationTimeoutMicros() / 2),
                simulation -> simulation.faults.partitionFromPeersAndStore(
                        simulation.leader(), randomPartitionMode(simulation), randomDuration(simulation)),
                simulation -> simulation.faults.partition(
                        simulation.leader(),
                        SimStore.NAME,
                        randomPartitionMode(simulation),
                        randomDuration(simulation)),
                simulation -> simulation.faults.partitionFromWorkers(
                        simulation.leader(), randomPartitionMode(simulation), randomDuration(simulation)),
                simulation -> simulation.faults.partitionZone(
                        simulation.zoneOf(simulation.randomNode()),
                        randomPartitionMode(simulation),
                        randomDuration(simulation)),
                simulation -> simulation.faults.pause(simulation.leader(), randomDuration(simulation)),
                simulation -> simulation.users.cancelRunning(
                        6, simulation.environment.random.nextBoolean() ? 0 : randomDuration(simulation)));
    }

    private static List<Consumer<Simulation>> messageFaults() {
        return List.of(
                simulation -> {
                    simulation.cancelAtCompletionShare = 0.5;
                    simulation.after(randomDuration(simulation), () -> simulation.cancelAtCompletionShare = 0);
                },
                simulation -> {
                    simulation.store.lateCommitShare = 0.3;
                    simulation.after(randomDuration(simulation), () -> simulation.store.lateCommitShare = 0);
                },
                simulation -> {
                    simulation.environment.duplicateRequestShare = 0.2;
                    simulation.after(
                            randomDuration(simulation), () -> simulation.environment.duplicateRequestShare = 0);
                },
                simulation -> {
                    simulation.environment.delayedPacketShare = 0.06;
                    simulation.after(randomDuration(simulation), () -> simulation.environment.delayedPacketShare = 0);
                },
                simulation -> simulation.store.dropReadsOf(simulation.leader(), randomDuration(simulation)));
    }

    private static List<Consumer<Simulation>> machineFaults() {
        return List.of(
                simulation -> forSomeMachines(
                        simulation, worker -> simulation.faults.dropMessagesTo(worker, randomDuration(simulation))),
                simulation -> forSomeMachines(
                        simulation, worker -> simulation.faults.dropHeartbeatsFrom(worker, randomDuration(simulation))),
                simulation -> forSomeMachines(
                        simulation,
                        worker -> simulation.faults.partitionMachine(
                                worker, randomPartitionMode(simulation), randomDuration(simulation))),
                simulation -> forSomeMachines(simulation, worker -> worker.hangFor(randomDuration(simulation))),
                simulation -> forSomeMachines(
                        simulation,
                        worker -> simulation.after(simulation.environment.random.nextInt(3_000_000), worker::die)),
                simulation -> simulation.users.sendUnusualRequests(randomDuration(simulation)),
                simulation -> simulation.cloud.startOutage(randomDuration(simulation)));
    }
}
