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
 * Measures the recovery after a cold restart in simulated time, with and without a recovery hold, on the same seeds.
 * The class name does not match the test patterns of the build, so run it with
 * {@code mvn -B test -Dtest=RecoveryMeasurement}.
 */
class RecoveryMeasurement {
    private static final long SECOND = Simulation.SECOND;
    private static final int SEED_COUNT = 3;
    /** The default hold: a quarter of the lease of {@link RecoveryLoad}. */
    private static final long HOLD_MICROS = 27 * SECOND / 4;

    private record Figures(
            double firstServiceStart,
            double lastServiceStart,
            double firstBatchStart,
            double lastMachineResolved,
            int requests,
            int changes) {}

    /** First only tasks on machines that stay up are lost, then one machine in a hundred is lost as well. */
    @ParameterizedTest
    @EnumSource(RecoveryLoad.Size.class)
    void coldRestart(RecoveryLoad.Size size) {
        for (boolean machinesDie : new boolean[] {false, true}) {
            for (long hold : new long[] {0, HOLD_MICROS}) {
                measure(size, machinesDie, hold);
            }
        }
    }

    private static void measure(RecoveryLoad.Size size, boolean machinesDie, long hold) {
        List<Figures> all = new ArrayList<>();
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            all.add(measure(seed, size, machinesDie, hold));
        }
        System.out.printf(
                Locale.ROOT,
                "%d machines, %s, hold %.2f s, median (min to max) of %d: first service start %s,"
                        + " last service start %s, first batch start %s, last machine resolved %s;"
                        + " in 30 s %s requests, %s changes%n",
                size.machines,
                machinesDie ? "one in a hundred dies" : "none dies",
                hold / 1e6,
                SEED_COUNT,
                medianAndRange(all.stream().map(Figures::firstServiceStart).toList()),
                medianAndRange(all.stream().map(Figures::lastServiceStart).toList()),
                medianAndRange(all.stream().map(Figures::firstBatchStart).toList()),
                medianAndRange(all.stream().map(Figures::lastMachineResolved).toList()),
                medianAndRange(
                        all.stream().map(figures -> (double) figures.requests()).toList()),
                medianAndRange(
                        all.stream().map(figures -> (double) figures.changes()).toList()));
    }

    private static String medianAndRange(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f to %.2f)",
                sorted.get(sorted.size() / 2),
                sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    /** Measures one run, in which every tenth machine loses its tasks while there is no leader. */
    private static Figures measure(long seed, RecoveryLoad.Size size, boolean machinesDie, long hold) {
        Simulation simulation = RecoveryLoad.fleet(seed, size);
        simulation.recoveryHoldMicros = hold;
        Observation<Integer> requestsBefore = new Observation<>();
        Observation<Integer> changesBefore = new Observation<>();
        simulation.after(RecoveryLoad.RESTART_MICROS, () -> {
            requestsBefore.set(simulation.store.requestCount());
            changesBefore.set(simulation.store.changeCount());
            simulation.faults.crashAll(SECOND);
            List<SimWorker> workers = simulation.cloud.workers();
            for (int i = 0; i < workers.size(); i += 10) {
                workers.get(i).endTasks(spec -> true, ExitCause.STOPPED);
            }
            for (int i = 5; machinesDie && i < workers.size(); i += 100) {
                workers.get(i).die();
            }
        });
        AtomicLong lastMachineResolvedMicros = new AtomicLong(-1);
        simulation.run(RecoveryLoad.RESTART_MICROS);
        simulation.environment.run(RecoveryLoad.RESTART_MICROS + 30 * SECOND, () -> {
            RecoveryStatus status = simulation.environment.nowMicros() % 20 == 0 && lastMachineResolvedMicros.get() < 0
                    ? simulation.recoveryStatus()
                    : null;
            if (status != null && status.term().fencingToken() > 1 && status.awaitedMachineCount() == 0) {
                lastMachineResolvedMicros.set(simulation.environment.nowMicros());
            }
        });
        int requests = simulation.store.requestCount() - requestsBefore.get();
        int changes = simulation.store.changeCount() - changesBefore.get();
        simulation.run(RecoveryLoad.RESTART_MICROS + 60 * SECOND);
        List<SimCommands.Start> starts = simulation.commands.startsSince(RecoveryLoad.RESTART_MICROS);
        List<Long> serviceStarts = startTimes(simulation, starts, true);
        List<Long> batchStarts = startTimes(simulation, starts, false);
        return new Figures(
                secondsSinceRestart(serviceStarts.isEmpty() ? -1 : serviceStarts.get(0)),
                secondsSinceRestart(serviceStarts.isEmpty() ? -1 : serviceStarts.get(serviceStarts.size() - 1)),
                secondsSinceRestart(batchStarts.isEmpty() ? -1 : batchStarts.get(0)),
                secondsSinceRestart(lastMachineResolvedMicros.get()),
                requests,
                changes);
    }

    private static List<Long> startTimes(Simulation simulation, List<SimCommands.Start> starts, boolean services) {
        return starts.stream()
                .filter(start -> simulation.users.specOf(start.task().job()).isService() == services)
                .map(SimCommands.Start::sentMicros)
                .toList();
    }

    /** The time from the restart to an instant; NaN if the instant is negative, which means that it never came. */
    private static double secondsSinceRestart(long at) {
        return at < 0 ? Double.NaN : (at - RecoveryLoad.RESTART_MICROS) / 1e6;
    }
}
