package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.recovery.RecoveryStatus;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What a cold restart costs, with and without the hold, on the same seeds. Simulated time; not part of the build, since
 * its name is no test's: {@code mvn -B test -Dtest=RecoveryMeasurement}.
 */
class RecoveryMeasurement {
    private static final long SECOND = Simulation.SECOND;
    private static final int RUNS = 3;
    /** By default a quarter of the lease of {@link RecoveryLoad}. */
    private static final long HOLD = 27 * SECOND / 4;

    private record Figures(
            double firstLive, double lastLive, double firstBatch, double lastVerdict, int requests, int writes) {}

    /** Nothing is lost but replicas on machines that go on; then, beside that, one machine in a hundred. */
    @ParameterizedTest
    @EnumSource(RecoveryLoad.Size.class)
    void coldRestart(RecoveryLoad.Size size) {
        for (boolean machinesDie : new boolean[] {false, true}) {
            for (long hold : new long[] {0, HOLD}) {
                measure(size, machinesDie, hold);
            }
        }
    }

    private static void measure(RecoveryLoad.Size size, boolean machinesDie, long hold) {
        List<Figures> all = new ArrayList<>();
        for (long seed = 1; seed <= RUNS; seed++) {
            all.add(measure(seed, size, machinesDie, hold));
        }
        System.out.printf(
                Locale.ROOT,
                "%d machines, %s, hold %.2f s, median (least to most) of %d: first live order %s, last live order %s,"
                        + " first batch order %s, last verdict %s; in 30 s %s requests, %s changes%n",
                size.machines,
                machinesDie ? "one in a hundred dies" : "none dies",
                hold / 1e6,
                RUNS,
                spread(all.stream().map(Figures::firstLive).toList()),
                spread(all.stream().map(Figures::lastLive).toList()),
                spread(all.stream().map(Figures::firstBatch).toList()),
                spread(all.stream().map(Figures::lastVerdict).toList()),
                spread(all.stream().map(figures -> (double) figures.requests()).toList()),
                spread(all.stream().map(figures -> (double) figures.writes()).toList()));
    }

    private static String spread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f to %.2f)",
                sorted.get(sorted.size() / 2),
                sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    /** A tenth of the machines lose their tasks while nobody leads. */
    private static Figures measure(long seed, RecoveryLoad.Size size, boolean machinesDie, long hold) {
        Simulation simulation = RecoveryLoad.fleet(seed, size);
        simulation.recoveryHoldMicros = hold;
        Observation<Integer> requestsBefore = new Observation<>();
        Observation<Integer> writesBefore = new Observation<>();
        simulation.after(RecoveryLoad.RESTART_MICROS, () -> {
            requestsBefore.set(simulation.store.requestCount());
            writesBefore.set(simulation.store.changeCount());
            simulation.faults.crashAll(SECOND);
            List<SimWorker> workers = simulation.cloud.workers();
            for (int i = 0; i < workers.size(); i += 10) {
                workers.get(i).endTasks(spec -> true, ExitCause.STOPPED);
            }
            for (int i = 5; machinesDie && i < workers.size(); i += 100) {
                workers.get(i).die();
            }
        });
        AtomicLong lastVerdict = new AtomicLong(-1);
        simulation.run(RecoveryLoad.RESTART_MICROS);
        simulation.environment.run(RecoveryLoad.RESTART_MICROS + 30 * SECOND, () -> {
            RecoveryStatus status = simulation.environment.nowMicros() % 20 == 0 && lastVerdict.get() < 0
                    ? simulation.recoveryStatus()
                    : null;
            if (status != null && status.term().fencingToken() > 1 && status.awaitedMachineCount() == 0) {
                lastVerdict.set(simulation.environment.nowMicros());
            }
        });
        int requests = simulation.store.requestCount() - requestsBefore.get();
        int writes = simulation.store.changeCount() - writesBefore.get();
        simulation.run(RecoveryLoad.RESTART_MICROS + 60 * SECOND);
        List<SimCommands.Start> starts = simulation.commands.startsSince(RecoveryLoad.RESTART_MICROS);
        List<Long> live = times(simulation, starts, true);
        List<Long> batch = times(simulation, starts, false);
        return new Figures(
                seconds(live.isEmpty() ? -1 : live.get(0)),
                seconds(live.isEmpty() ? -1 : live.get(live.size() - 1)),
                seconds(batch.isEmpty() ? -1 : batch.get(0)),
                seconds(lastVerdict.get()),
                requests,
                writes);
    }

    private static List<Long> times(Simulation simulation, List<SimCommands.Start> starts, boolean services) {
        return starts.stream()
                .filter(start -> simulation.users.specOf(start.task().job()).service() == services)
                .map(SimCommands.Start::sentMicros)
                .toList();
    }

    /** Since the restart; not a number when it did not come. */
    private static double seconds(long at) {
        return at < 0 ? Double.NaN : (at - RecoveryLoad.RESTART_MICROS) / 1e6;
    }
}
