package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** A simulated cloud: machines that boot after a while or never, limited capacity, and listings that lag behind. */
final class SimCloud {
    static final String NAME = "cloud";
    private static final long TIMEOUT_MICROS = 5_000_000;

    private static final class Machine {
        private final String id;
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final long launchedAtMicros;
        /** The worker process; null until the machine is up. */
        private @Nullable SimWorker worker;

        Machine(String id, MachineType type, CloudPort.LaunchRequest request, long launchedAtMicros) {
            this.id = id;
            this.type = type;
            this.zone = request.zone();
            this.spot = request.spot();
            this.launchedAtMicros = launchedAtMicros;
        }
    }

    private final SimEnvironment environment;
    private final List<MachineType> types;
    private final int machinesPerOffer;
    private final long listLagMicros;
    private final BiFunction<String, CloudPort.ListedMachine, SimWorker> workerFactory;
    private final Map<String, List<String>> launchedIdsByKey = new HashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final TreeMap<Long, List<CloudPort.ListedMachine>> snapshots = new TreeMap<>();
    private final List<String> terminatedWhileBusy = new ArrayList<>();
    /** How many of the next launched machines never come up, beside the random failures. */
    int remainingBootFailures;

    private int launchedMachines;
    private boolean outageActive;

    SimCloud(
            SimEnvironment environment,
            List<MachineType> types,
            int machinesPerOffer,
            long listLagMicros,
            BiFunction<String, CloudPort.ListedMachine, SimWorker> workerFactory) {
        this.environment = environment;
        this.types = types;
        this.machinesPerOffer = machinesPerOffer;
        this.listLagMicros = listLagMicros;
        this.workerFactory = workerFactory;
        recordSnapshot();
    }

    /** Refuses all requests for a while. */
    void startOutage(long durationMicros) {
        outageActive = true;
        environment.after(durationMicros, () -> outageActive = false);
    }

    /** The live workers, ordered by machine id. */
    List<SimWorker> workers() {
        return machines.values().stream()
                .filter(machine -> machine.worker != null && machine.worker.isAlive())
                .map(machine -> machine.worker)
                .toList();
    }

    /** The live worker on the machine with this id; null if the machine is not up. */
    @Nullable
    SimWorker worker(String id) {
        Machine machine = machines.get(id);
        return machine == null || machine.worker == null || !machine.worker.isAlive() ? null : machine.worker;
    }

    /** The ids of the machines that controllers terminated while tasks ran on them, in order. */
    List<String> terminatedWhileBusy() {
        return Collections.unmodifiableList(terminatedWhileBusy);
    }

    private void recordSnapshot() {
        List<CloudPort.ListedMachine> list = machines.values().stream()
                .map(machine -> toListedMachine(
                        machine,
                        machine.worker == null ? CloudPort.MachineState.BOOTING : CloudPort.MachineState.RUNNING,
                        environment.nowMicros() - machine.launchedAtMicros))
                .toList();
        snapshots.put(environment.nowMicros(), list);
        snapshots
                .headMap(environment.nowMicros() - 3 * listLagMicros - 1_000_000)
                .clear();
        environment.after(1_000_000, this::recordSnapshot);
    }

    private CloudPort.LaunchResult launch(CloudPort.LaunchRequest request) {
        if (launchedIdsByKey.containsKey(request.idempotencyKey())) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.OK, launchedIdsByKey.get(request.idempotencyKey()));
        }
        long existing = machines.values().stream()
                .filter(machine -> machine.type.name().equals(request.type())
                        && machine.zone.equals(request.zone())
                        && machine.spot == request.spot())
                .count();
        int count = (int) Math.min(request.count(), machinesPerOffer - existing);
        if (count <= 0) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.NO_CAPACITY, List.of());
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(launchMachine(request).id);
        }
        launchedIdsByKey.put(request.idempotencyKey(), ids);
        return new CloudPort.LaunchResult(CloudPort.Outcome.OK, ids);
    }

    /** One machine in thirty never comes up; the others take 0.1 to 1.5 times the boot time of their type. */
    private Machine launchMachine(CloudPort.LaunchRequest request) {
        MachineType type = types.stream()
                .filter(each -> each.name().equals(request.type()))
                .findFirst()
                .orElseThrow();
        Machine machine =
                new Machine(String.format("i-%06d", ++launchedMachines), type, request, environment.nowMicros());
        boolean neverBoots = environment.random.nextInt(30) == 0 || remainingBootFailures-- > 0;
        machines.put(machine.id, machine);
        if (!neverBoots) {
            long bootMicros = (long) (machine.type.bootMicros() * (0.1 + 1.4 * environment.random.nextDouble()));
            environment.after(bootMicros, () -> {
                if (machines.containsKey(machine.id)) {
                    machine.worker = workerFactory.apply(
                            machine.id, toListedMachine(machine, CloudPort.MachineState.RUNNING, 0));
                }
            });
        }
        return machine;
    }

    private static CloudPort.ListedMachine toListedMachine(
            Machine machine, CloudPort.MachineState state, long ageMicros) {
        return new CloudPort.ListedMachine(
                machine.id, machine.id, machine.type.name(), machine.zone, machine.spot, state, ageMicros);
    }

    private void remove(String id) {
        Machine machine = machines.remove(id);
        if (machine != null && machine.worker != null) {
            if (machine.worker.isAlive() && machine.worker.attempts().hasRunningTask()) {
                terminatedWhileBusy.add(id);
            }
            machine.worker.die();
        }
    }

    private boolean terminate(List<String> ids) {
        if (!outageActive) {
            ids.forEach(this::remove);
        }
        return !outageActive;
    }

    /** Lists machines as of one list lag ago, and of twice the lag in one of four requests. */
    private CloudPort.Listing listAfter(String from) {
        long snapshotMicros =
                environment.nowMicros() - listLagMicros - (environment.random.nextInt(4) == 0 ? listLagMicros : 0);
        var snapshot = snapshots.floorEntry(snapshotMicros);
        List<CloudPort.ListedMachine> listedMachines = snapshot == null ? List.of() : snapshot.getValue();
        return new CloudPort.Listing(
                outageActive ? CloudPort.Outcome.REFUSED : CloudPort.Outcome.OK,
                listedMachines.stream()
                        .filter(host -> host.id().compareTo(from) > 0)
                        .toList(),
                false);
    }

    /** The connection of a node to the cloud. */
    CloudPort portFor(String node) {
        return new Port(node);
    }

    private final class Port implements CloudPort {
        private final String node;

        Port(String node) {
            this.node = node;
        }

        @Override
        public void fetchMachineTypes(Consumer<List<MachineType>> then) {
            call(() -> outageActive ? null : types, null, then);
        }

        @Override
        public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
            call(
                    () -> outageActive ? new LaunchResult(Outcome.REFUSED, List.of()) : SimCloud.this.launch(request),
                    new LaunchResult(Outcome.UNKNOWN, List.of()),
                    then);
        }

        @Override
        public void terminate(List<String> ids, Consumer<Boolean> then) {
            call(() -> SimCloud.this.terminate(ids), false, then);
        }

        @Override
        public void listMachines(String from, int limit, Consumer<Listing> then) {
            call(() -> listAfter(from), new Listing(Outcome.UNKNOWN, List.of(), false), then);
        }

        private <T> void call(Supplier<T> serve, @Nullable T unanswered, Consumer<T> then) {
            environment.call(
                    node, NAME, TIMEOUT_MICROS, serve, answer -> then.accept(answer == null ? unanswered : answer));
        }
    }
}
