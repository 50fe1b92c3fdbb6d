package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;

/** A stand-in for the cloud. */
final class SimCloud {
    static final String NAME = "cloud";
    private static final long TIMEOUT = 5_000_000;

    private static final class Host {
        String id;
        MachineType type;
        String zone;
        boolean spot;
        long launched;
        long up;
        SimWorker worker;
    }

    private final World world;
    private final List<MachineType> types;
    private final int perOffer;
    private final long listLag;
    private final BiFunction<String, CloudPort.ListedHost, SimWorker> boot;
    private final Map<String, List<String>> launchCount = new HashMap<>();
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final TreeMap<Long, List<CloudPort.ListedHost>> snapshots = new TreeMap<>();
    /** Machines that were given back with tasks running on them. */
    final List<String> terminatedBusy = new ArrayList<>();
    /** How many of the next machines never come up. */
    int neverUp;

    private int created;
    private boolean outage;

    SimCloud(
            World world,
            List<MachineType> types,
            int perOffer,
            long listLag,
            BiFunction<String, CloudPort.ListedHost, SimWorker> boot) {
        this.world = world;
        this.types = types;
        this.perOffer = perOffer;
        this.listLag = listLag;
        this.boot = boot;
        snapshot();
    }

    void outage(long forMicros) {
        outage = true;
        world.after(forMicros, () -> outage = false);
    }

    List<SimWorker> workers() {
        return hosts.values().stream()
                .filter(h -> h.worker != null && h.worker.alive())
                .map(h -> h.worker)
                .toList();
    }

    private void snapshot() {
        List<CloudPort.ListedHost> list = hosts.values().stream()
                .map(h -> new CloudPort.ListedHost(
                        h.id,
                        h.id,
                        h.type.name(),
                        h.zone,
                        h.spot,
                        h.worker == null ? CloudPort.HostState.BOOTING : CloudPort.HostState.RUNNING,
                        world.now() - h.launched))
                .toList();
        snapshots.put(world.now(), list);
        snapshots.headMap(world.now() - 3 * listLag - 1_000_000).clear();
        world.after(1_000_000, this::snapshot);
    }

    private CloudPort.LaunchResult launch(CloudPort.LaunchRequest r) {
        if (launchCount.containsKey(r.idempotencyKey())) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.OK, launchCount.get(r.idempotencyKey()));
        }
        long there = hosts.values().stream()
                .filter(h -> h.type.name().equals(r.type()) && h.zone.equals(r.zone()) && h.spot == r.spot())
                .count();
        int count = (int) Math.min(r.count(), perOffer - there);
        if (count <= 0) {
            return new CloudPort.LaunchResult(CloudPort.Outcome.NO_CAPACITY, List.of());
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Host h = new Host();
            h.id = String.format("i-%06d", ++created);
            h.type = types.stream()
                    .filter(t -> t.name().equals(r.type()))
                    .findFirst()
                    .orElseThrow();
            h.zone = r.zone();
            h.spot = r.spot();
            h.launched = world.now();
            boolean never = world.random.nextInt(30) == 0 || neverUp-- > 0;
            h.up = world.now()
                    + (never
                            ? Long.MAX_VALUE / 4
                            : (long) (h.type.bootMicros() * (0.1 + 1.4 * world.random.nextDouble())));
            hosts.put(h.id, h);
            ids.add(h.id);
            if (!never) {
                world.after(h.up - world.now(), () -> {
                    if (hosts.containsKey(h.id)) {
                        h.worker = boot.apply(
                                h.id,
                                new CloudPort.ListedHost(
                                        h.id, h.id, h.type.name(), h.zone, h.spot, CloudPort.HostState.RUNNING, 0));
                    }
                });
            }
        }
        launchCount.put(r.idempotencyKey(), ids);
        return new CloudPort.LaunchResult(CloudPort.Outcome.OK, ids);
    }

    private void remove(String id) {
        Host h = hosts.remove(id);
        if (h != null && h.worker != null) {
            if (h.worker.alive() && h.worker.runs().busy()) {
                terminatedBusy.add(id);
            }
            h.worker.die();
        }
    }

    CloudPort portFor(String node) {
        return new CloudPort() {
            @Override
            public void types(Consumer<List<MachineType>> then) {
                world.call(
                        node,
                        NAME,
                        TIMEOUT,
                        () -> outage ? List.<MachineType>of() : types,
                        l -> then.accept(l == null || l.isEmpty() ? null : l));
            }

            @Override
            public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
                world.call(
                        node,
                        NAME,
                        TIMEOUT,
                        () -> outage ? new LaunchResult(Outcome.REFUSED, List.of()) : SimCloud.this.launch(request),
                        r -> then.accept(r == null ? new LaunchResult(Outcome.UNKNOWN, List.of()) : r));
            }

            @Override
            public void terminate(List<String> ids, Consumer<Boolean> then) {
                world.call(
                        node,
                        NAME,
                        TIMEOUT,
                        () -> {
                            if (!outage) {
                                ids.forEach(SimCloud.this::remove);
                            }
                            return !outage;
                        },
                        done -> then.accept(done != null && done));
            }

            @Override
            public void list(String from, int limit, Consumer<Listing> then) {
                world.call(
                        node,
                        NAME,
                        TIMEOUT,
                        () -> {
                            long at = world.now() - listLag - (world.random.nextInt(4) == 0 ? listLag : 0);
                            var seen = snapshots.floorEntry(at);
                            List<ListedHost> all = seen == null ? List.of() : seen.getValue();
                            return new Listing(
                                    outage ? Outcome.REFUSED : Outcome.OK,
                                    all.stream()
                                            .filter(h -> h.id().compareTo(from) > 0)
                                            .toList(),
                                    false);
                        },
                        l -> then.accept(l == null ? new Listing(Outcome.UNKNOWN, List.of(), false) : l));
            }
        };
    }
}
