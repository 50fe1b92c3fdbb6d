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

/** Any two faults close in time, drawn from a seed. */
class RandomFaultPairsTest {
    /** A few seeds in every build; by hand {@code -Dgranitepath.pairs=N} for more, {@code .pair=S} for one alone. */
    static LongStream pairs() {
        Long one = Long.getLong("granitepath.pair");
        long first = Long.getLong("granitepath.firstpair", 0);
        return one != null
                ? LongStream.of(one)
                : LongStream.range(first, first + Long.getLong("granitepath.pairs", 16));
    }

    /** Any two troubles close in time, three times over. */
    @ParameterizedTest
    @MethodSource("pairs")
    void rulesHoldUnderAnyTwoFaults(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 35, 150 * SECOND);
        submitLongRunningJobs(simulation, 4, 4, 60 * SECOND);
        // Teams whose guarantees and limits bind: capacity is lent and taken back meanwhile.
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
        List<Consumer<Simulation>> troubles = troubles();
        for (int i = 0; i < 3; i++) {
            long at = (30 + 55 * i) * SECOND + simulation.environment.random.nextInt(8_000_000);
            Consumer<Simulation> one = troubles.get(simulation.environment.random.nextInt(troubles.size()));
            Consumer<Simulation> other = troubles.get(simulation.environment.random.nextInt(troubles.size()));
            simulation.after(at, () -> one.accept(simulation));
            simulation.after(at + simulation.environment.random.nextInt(6_000_000), () -> other.accept(simulation));
        }
        simulation.runWithLivenessChecks(250 * SECOND, 650 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    private static long time(Simulation simulation) {
        return (2 + simulation.environment.random.nextInt(40)) * SECOND;
    }

    private static SimEnvironment.PartitionMode cut(Simulation simulation) {
        return simulation.environment.random.nextBoolean()
                ? SimEnvironment.PartitionMode.HOLD
                : SimEnvironment.PartitionMode.DROP;
    }

    private static void someMachines(Simulation simulation, Consumer<SimWorker> what) {
        List<SimWorker> all = simulation.cloud.workers();
        int every = 2 + simulation.environment.random.nextInt(4);
        for (int i = 0; i < all.size(); i += every) {
            what.accept(all.get(i));
        }
    }

    /** All troubles, always in this order: the seed draws from it. */
    private static List<Consumer<Simulation>> troubles() {
        return Stream.of(ofControllersAndLinks(), ofMessages(), ofMachines())
                .flatMap(List::stream)
                .toList();
    }

    private static List<Consumer<Simulation>> ofControllersAndLinks() {
        return List.of(
                simulation -> simulation.faults.crash(
                        simulation.leader(), 200_000 + simulation.environment.random.nextInt(6_000_000)),
                simulation -> simulation.nodeNames.forEach(node ->
                        simulation.faults.crash(node, 200_000 + simulation.environment.random.nextInt(30_000_000))),
                simulation -> simulation.store.refuseRequestsOf(simulation.leader(), time(simulation)),
                simulation -> simulation.store.startOutage(
                        time(simulation) + simulation.config.cancellationTimeoutMicros() / 2),
                simulation -> simulation.faults.partitionFromPeersAndStore(
                        simulation.leader(), cut(simulation), time(simulation)),
                simulation -> simulation.faults.partition(
                        simulation.leader(), SimStore.NAME, cut(simulation), time(simulation)),
                simulation ->
                        simulation.faults.partitionFromWorkers(simulation.leader(), cut(simulation), time(simulation)),
                simulation -> simulation.faults.partitionZone(
                        simulation.zoneOf(simulation.randomNode()), cut(simulation), time(simulation)),
                simulation -> simulation.faults.pause(simulation.leader(), time(simulation)),
                simulation -> simulation.users.cancelRunning(
                        6, simulation.environment.random.nextBoolean() ? 0 : time(simulation)));
    }

    private static List<Consumer<Simulation>> ofMessages() {
        return List.of(
                simulation -> {
                    simulation.cancelAtCompletionShare = 0.5;
                    simulation.after(time(simulation), () -> simulation.cancelAtCompletionShare = 0);
                },
                simulation -> {
                    simulation.store.lateCommitShare = 0.3;
                    simulation.after(time(simulation), () -> simulation.store.lateCommitShare = 0);
                },
                simulation -> {
                    simulation.environment.duplicateRequestShare = 0.2;
                    simulation.after(time(simulation), () -> simulation.environment.duplicateRequestShare = 0);
                },
                simulation -> {
                    simulation.environment.delayedPacketShare = 0.06;
                    simulation.after(time(simulation), () -> simulation.environment.delayedPacketShare = 0);
                },
                simulation -> simulation.store.dropReadsOf(simulation.leader(), time(simulation)));
    }

    private static List<Consumer<Simulation>> ofMachines() {
        return List.of(
                simulation ->
                        someMachines(simulation, worker -> simulation.faults.dropMessagesTo(worker, time(simulation))),
                simulation -> someMachines(
                        simulation, worker -> simulation.faults.dropHeartbeatsFrom(worker, time(simulation))),
                simulation -> someMachines(
                        simulation,
                        worker -> simulation.faults.partitionMachine(worker, cut(simulation), time(simulation))),
                simulation -> someMachines(simulation, worker -> worker.hangFor(time(simulation))),
                simulation -> someMachines(
                        simulation,
                        worker -> simulation.after(simulation.environment.random.nextInt(3_000_000), worker::die)),
                simulation -> simulation.users.sendUnusualRequests(time(simulation)),
                simulation -> simulation.cloud.startOutage(time(simulation)));
    }
}
