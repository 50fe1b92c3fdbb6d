package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.withJobs;
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
    static LongStream pairs() {
        Long one = Long.getLong("granitepath.pair");
        long first = Long.getLong("granitepath.firstpair", 0);
        return one != null
                ? LongStream.of(one)
                : LongStream.range(first, first + Long.getLong("granitepath.pairs", 16));
    }

    /** Two random faults occur close in time, three times in a run. */
    @ParameterizedTest
    @MethodSource("pairs")
    void rulesHoldUnderAnyTwoFaults(long seed) {
        Simulation simulation = withJobs(simulation(seed), 35, 150 * SECOND);
        longWork(simulation, 4, 4, 60 * SECOND);
        // The guarantees and limits of these teams take effect: capacity is lent and reclaimed during the faults.
        for (int i = 0; i < 10; i++) {
            simulation.after((5 + 14 * i) * SECOND, () -> {
                int tasks = 1 + simulation.world.random.nextInt(8);
                String team = simulation.world.random.nextBoolean() ? "granted" : "lender";
                simulation.users.submit(simulation
                        .jobs
                        .work(tasks, 15 * SECOND)
                        .team(team)
                        .onSpot()
                        .create());
            });
        }
        List<Consumer<Simulation>> troubles = troubles();
        for (int i = 0; i < 3; i++) {
            long at = (30 + 55 * i) * SECOND + simulation.world.random.nextInt(8_000_000);
            Consumer<Simulation> one = troubles.get(simulation.world.random.nextInt(troubles.size()));
            Consumer<Simulation> other = troubles.get(simulation.world.random.nextInt(troubles.size()));
            simulation.after(at, () -> one.accept(simulation));
            simulation.after(at + simulation.world.random.nextInt(6_000_000), () -> other.accept(simulation));
        }
        simulation.run(250 * SECOND, 650 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    private static long time(Simulation simulation) {
        return (2 + simulation.world.random.nextInt(40)) * SECOND;
    }

    private static World.Cut cut(Simulation simulation) {
        return simulation.world.random.nextBoolean() ? World.Cut.HOLD : World.Cut.DROP;
    }

    private static void someMachines(Simulation simulation, Consumer<SimWorker> what) {
        List<SimWorker> all = simulation.cloud.workers();
        int every = 2 + simulation.world.random.nextInt(4);
        for (int i = 0; i < all.size(); i += every) {
            what.accept(all.get(i));
        }
    }

    /** All faults. Their order has to stay the same, since a seed selects them by index. */
    private static List<Consumer<Simulation>> troubles() {
        return Stream.of(ofControllersAndLinks(), ofMessages(), ofMachines())
                .flatMap(List::stream)
                .toList();
    }

    private static List<Consumer<Simulation>> ofControllersAndLinks() {
        return List.of(
                simulation -> simulation.faults.crash(
                        simulation.leader(), 200_000 + simulation.world.random.nextInt(6_000_000)),
                simulation -> simulation.names.forEach(
                        node -> simulation.faults.crash(node, 200_000 + simulation.world.random.nextInt(30_000_000))),
                simulation -> simulation.store.refuse(simulation.leader(), time(simulation)),
                simulation -> simulation.store.outage(time(simulation) + simulation.shape.cancel() / 2),
                simulation ->
                        simulation.faults.cutFromPeersAndStore(simulation.leader(), cut(simulation), time(simulation)),
                simulation ->
                        simulation.faults.cut(simulation.leader(), SimStore.NAME, cut(simulation), time(simulation)),
                simulation -> simulation.faults.cutFromWorkers(simulation.leader(), cut(simulation), time(simulation)),
                simulation -> simulation.faults.cutZone(
                        simulation.zoneOf(simulation.anyNode()), cut(simulation), time(simulation)),
                simulation -> simulation.faults.freeze(simulation.leader(), time(simulation)),
                simulation -> simulation.users.cancelRunning(
                        6, simulation.world.random.nextBoolean() ? 0 : time(simulation)));
    }

    private static List<Consumer<Simulation>> ofMessages() {
        return List.of(
                simulation -> {
                    simulation.cancelledAtEnd = 0.5;
                    simulation.after(time(simulation), () -> simulation.cancelledAtEnd = 0);
                },
                simulation -> {
                    simulation.store.lateWrites = 0.3;
                    simulation.after(time(simulation), () -> simulation.store.lateWrites = 0);
                },
                simulation -> {
                    simulation.world.lateCopies = 0.2;
                    simulation.after(time(simulation), () -> simulation.world.lateCopies = 0);
                },
                simulation -> {
                    simulation.world.heldUp = 0.06;
                    simulation.after(time(simulation), () -> simulation.world.heldUp = 0);
                },
                simulation -> simulation.store.blindFor(simulation.leader(), time(simulation)));
    }

    private static List<Consumer<Simulation>> ofMachines() {
        return List.of(
                simulation -> someMachines(simulation, worker -> simulation.faults.deafen(worker, time(simulation))),
                simulation -> someMachines(simulation, worker -> simulation.faults.mute(worker, time(simulation))),
                simulation -> someMachines(
                        simulation, worker -> simulation.faults.cutMachine(worker, cut(simulation), time(simulation))),
                simulation -> someMachines(simulation, worker -> worker.hangFor(time(simulation))),
                simulation -> someMachines(
                        simulation,
                        worker -> simulation.after(simulation.world.random.nextInt(3_000_000), worker::die)),
                simulation -> simulation.users.oddRequests(time(simulation)),
                simulation -> simulation.cloud.outage(time(simulation)));
    }
}
