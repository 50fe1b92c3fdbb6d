package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.longWork;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.granitepath.simulation.SimulationTest.withJobs;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.granitepath.storage.Priority;
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
    void anyTwoTroublesMeet(long seed) {
        Simulation s = withJobs(simulation(seed), 35, 150 * SECOND);
        longWork(s, 4, 4, 60 * SECOND);
        // Teams whose guarantees and limits bind: capacity is lent and taken back meanwhile.
        for (int i = 0; i < 10; i++) {
            s.world.after(
                    (5 + 14 * i) * SECOND,
                    () -> s.users.submit(
                            s.jobs.job(
                                    false,
                                    1 + s.world.random.nextInt(8),
                                    Priority.STANDARD,
                                    s.world.random.nextBoolean() ? "granted" : "lender",
                                    true,
                                    false,
                                    false,
                                    15 * SECOND,
                                    0),
                            -1));
        }
        List<Consumer<Simulation>> troubles = troubles();
        for (int i = 0; i < 3; i++) {
            long at = (30 + 55 * i) * SECOND + s.world.random.nextInt(8_000_000);
            Consumer<Simulation> one = troubles.get(s.world.random.nextInt(troubles.size()));
            Consumer<Simulation> other = troubles.get(s.world.random.nextInt(troubles.size()));
            s.world.after(at, () -> one.accept(s));
            s.world.after(at + s.world.random.nextInt(6_000_000), () -> other.accept(s));
        }
        s.run(250 * SECOND, 650 * SECOND);
        assertRulesAndAllDone(s);
    }

    private static long time(Simulation s) {
        return (2 + s.world.random.nextInt(40)) * SECOND;
    }

    private static World.Cut cut(Simulation s) {
        return s.world.random.nextBoolean() ? World.Cut.HOLD : World.Cut.DROP;
    }

    private static void someMachines(Simulation s, Consumer<SimWorker> what) {
        List<SimWorker> all = s.cloud.workers();
        int every = 2 + s.world.random.nextInt(4);
        for (int i = 0; i < all.size(); i += every) {
            what.accept(all.get(i));
        }
    }

    private static List<Consumer<Simulation>> troubles() {
        return List.of(
                s -> s.faults.crash(s.leader(), 200_000 + s.world.random.nextInt(6_000_000)),
                s -> s.names.forEach(n -> s.faults.crash(n, 200_000 + s.world.random.nextInt(30_000_000))),
                s -> s.store.refuse(s.leader(), time(s)),
                s -> s.store.outage(time(s) + s.shape.cancel() / 2),
                s -> s.faults.cutFromPeersAndStore(s.leader(), cut(s), time(s)),
                s -> s.faults.cut(s.leader(), SimStore.NAME, cut(s), time(s)),
                s -> s.faults.cutFromWorkers(s.leader(), cut(s), time(s)),
                s -> s.faults.cutZone(s.zoneOf(s.anyNode()), cut(s), time(s)),
                s -> s.faults.freeze(s.leader(), time(s)),
                s -> s.users.cancelRunning(6, s.world.random.nextBoolean() ? 0 : time(s)),
                s -> {
                    s.cancelledAtEnd = 0.5;
                    s.world.after(time(s), () -> s.cancelledAtEnd = 0);
                },
                s -> {
                    s.store.lateWrites = 0.3;
                    s.world.after(time(s), () -> s.store.lateWrites = 0);
                },
                s -> {
                    s.world.lateCopies = 0.2;
                    s.world.after(time(s), () -> s.world.lateCopies = 0);
                },
                s -> {
                    s.world.heldUp = 0.06;
                    s.world.after(time(s), () -> s.world.heldUp = 0);
                },
                s -> s.store.blindFor(s.leader(), time(s)),
                s -> someMachines(s, w -> s.faults.deafen(w, time(s))),
                s -> someMachines(s, w -> s.faults.mute(w, time(s))),
                s -> someMachines(s, w -> s.faults.cutMachine(w, cut(s), time(s))),
                s -> someMachines(s, w -> w.hangFor(time(s))),
                s -> someMachines(s, w -> s.world.after(s.world.random.nextInt(3_000_000), w::die)),
                s -> s.users.oddRequests(time(s)),
                s -> s.cloud.outage(time(s)));
    }
}
