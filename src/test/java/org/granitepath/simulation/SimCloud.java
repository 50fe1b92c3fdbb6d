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

/** A stand-in for the cloud. */
final class SimCloud {
    static final String NAME = "cloud";
    private static final long TIMEOUT = 5_000_000;

    private static final class Host {
        private final String id;
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final long launched;
        /** What runs there; null until the machine is up. */
        private @Nullable SimWorker worker;

        Host(String id, MachineType type, CloudPort.LaunchRequest request, long launched) {
            this.id = id;
            this.type = type;
            this.zone = request.zone();
            this.spot = request.spot();
            this.launched = launched;
        }
    }

    private final SimEnvironment environment;
    private final List<MachineType> types;
    private final int perOffer;
    private final long listLag;
    private final BiFunction<String, CloudPort.ListedMachine, SimWorker> boot;
    private final Map<String, List<String>> launchCount = new HashMap<>();
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final TreeMap<Long, List<CloudPort.ListedMachine>> snapshots = new TreeMap<>();
    private final List<String> terminatedWhileBusy = new ArrayList<>();
    /** How many of the next machines never come up. */
    int remainingBootFailures;

    private int created;
    private boolean outage;

    SimCloud(
            SimEnvironment environment,
            List<MachineType> types,
            int perOffer,
            long listLag,
            BiFunction<String, CloudPort.ListedMachine, SimWorker> boot) {
        this.environment = environment;
        this.types = types;
        this.perOffer = perOffer;
        this.listLag = listLag;
        this.boot = boot;
        snapshot();
    }

    /** Nobody is served. */
    void startOutage(long forMicros) {
        outage = true;
        environment.after(forMicros, () -> outage = false);
    }

    /** The machines that are up, by id. */
    List<SimWorker> workers() {
        return hosts.values().stream()
                .filter(host -> host.worker != null && host.worker.isAlive())
                .map(host -> host.worker)
                .toList();
    }

    /** The machine with this id; null when it is not up. */
    @Nullable
    SimWorker worker(String id) {
        Host host = hosts.get(id);
        return host == null || host.worker == null || !host.worker.isAlive() ? null : host.worker;
    }

    /** The machines that were terminated with tasks running on them, in order. */
    List<String> terminatedWhileBusy() {
        return Collections.unmodifiableList(terminatedWhileBusy);
    }

    private void snapshot() {
        List<CloudPort.ListedMachine> list = hosts.values().stream()
                .map(host -> listed(
                        host,
                        host.worker == null ? CloudPort.MachineState.BOOTING : CloudPort.MachineState.RUNNING,
                        environment.nowMicros() - host.launched))
                .toList();
        snapshots.put(environment.nowMicros(), list);
        snapshots.headMap(environment.nowMicros() - 3 * listLag - 1_000_000).clear();
        environment.after(1_000_000, this::snapshot);
    }

    private CloudPort.LaunchResult launch(CloudPort.LaunchRequest request) {
        if (launchCount.containsKey(request.idempotencyKey())) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.OK, launchCount.get(request.idempotencyKey()));
        }
        long there = hosts.values().stream()
                .filter(host -> host.type.name().equals(request.type())
                        && host.zone.equals(request.zone())
                        && host.spot == request.spot())
                .count();
        int count = (int) Math.min(request.count(), perOffer - there);
        if (count <= 0) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.NO_CAPACITY, List.of());
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(launchOne(request).id);
        }
        launchCount.put(request.idempotencyKey(), ids);
        return new CloudPort.LaunchResult(CloudPort.Outcome.OK, ids);
    }

    /** One of thirty never comes up, the others earlier or later than their type promises. */
    private Host launchOne(CloudPort.LaunchRequest request) {
        MachineType type = types.stream()
                .filter(each -> each.name().equals(request.type()))
                .findFirst()
                .orElseThrow();
        Host host = new Host(String.format("i-%06d", ++created), type, request, environment.nowMicros());
        boolean never = environment.random.nextInt(30) == 0 || remainingBootFailures-- > 0;
        hosts.put(host.id, host);
        if (!never) {
            long bootMicros = (long) (host.type.bootMicros() * (0.1 + 1.4 * environment.random.nextDouble()));
            environment.after(bootMicros, () -> {
                if (hosts.containsKey(host.id)) {
                    host.worker = boot.apply(host.id, listed(host, CloudPort.MachineState.RUNNING, 0));
                }
            });
        }
        return host;
    }

    private static CloudPort.ListedMachine listed(Host host, CloudPort.MachineState state, long ageMicros) {
        return new CloudPort.ListedMachine(host.id, host.id, host.type.name(), host.zone, host.spot, state, ageMicros);
    }

    private void remove(String id) {
        Host host = hosts.remove(id);
        if (host != null && host.worker != null) {
            if (host.worker.isAlive() && host.worker.attempts().hasRunningTask()) {
                terminatedWhileBusy.add(id);
            }
            host.worker.die();
        }
    }

    private boolean terminate(List<String> ids) {
        if (!outage) {
            ids.forEach(this::remove);
        }
        return !outage;
    }

    /** What the cloud tells is some seconds old, at times twice as old. */
    private CloudPort.Listing listAfter(String from) {
        long at = environment.nowMicros() - listLag - (environment.random.nextInt(4) == 0 ? listLag : 0);
        var seen = snapshots.floorEntry(at);
        List<CloudPort.ListedMachine> hosts = seen == null ? List.of() : seen.getValue();
        return new CloudPort.Listing(
                outage ? CloudPort.Outcome.REFUSED : CloudPort.Outcome.OK,
                hosts.stream().filter(host -> host.id().compareTo(from) > 0).toList(),
                false);
    }

    /** The cloud as one node reaches it. */
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
            call(() -> outage ? null : types, null, then);
        }

        @Override
        public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
            call(
                    () -> outage ? new LaunchResult(Outcome.REFUSED, List.of()) : SimCloud.this.launch(request),
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
            environment.call(node, NAME, TIMEOUT, serve, answer -> then.accept(answer == null ? unanswered : answer));
        }
    }
}
