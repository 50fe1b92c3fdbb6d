package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.Heartbeat;

/** Troubles of controllers, machines and the network. Those of the store and the cloud are theirs. */
final class SimFaults {
    private final Simulation simulation;

    SimFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    void crash(String node, long forMicros) {
        Simulation.Node n = simulation.nodes.get(node);
        if (n.controller != null) {
            n.crash();
            simulation.world.after(forMicros, n::boot);
        }
    }

    /** All controllers end at once; each comes back within the given time. */
    void crashAll(long longestDownMicros) {
        simulation.names.forEach(
                n -> crash(n, 20_000 + (long) (simulation.world.random.nextDouble() * longestDownMicros)));
    }

    /** A controller ends and comes back with the next version, which knows of the next limits. */
    void upgrade(String node, long downMicros) {
        simulation.upgraded.add(node);
        crash(node, downMicros);
    }

    /** A controller stands still while its clocks run on. */
    void freeze(String node, long forMicros) {
        simulation.world.freeze(node);
        simulation.world.after(forMicros, () -> simulation.world.thaw(node));
    }

    void cut(String a, String b, World.Cut how, long forMicros) {
        simulation.world.cut(a, b, how);
        simulation.world.after(forMicros, () -> simulation.world.heal(a, b));
    }

    void cutFromWorkers(String node, World.Cut how, long forMicros) {
        for (SimWorker w : simulation.cloud.workers()) {
            cut(node, w.id, how, forMicros);
        }
    }

    /** Its reports arrive, but neither answers nor commands reach it. */
    void deafen(SimWorker w, long forMicros) {
        for (String n : simulation.names) {
            simulation.world.block(n, w.id);
            simulation.world.after(forMicros, () -> simulation.world.heal(n, w.id));
        }
    }

    /** Answers and commands reach it, but its heartbeats are lost. */
    void mute(SimWorker w, long forMicros) {
        w.mute(true);
        simulation.world.after(forMicros, () -> w.mute(false));
    }

    /** A copy of a heartbeat arrives at the leader; its answer gets lost. */
    void deliver(Heartbeat late) {
        deliver(simulation.leader(), late);
    }

    void deliver(String node, Heartbeat late) {
        Controller c = simulation.nodes.get(node).controller;
        if (c != null) {
            c.heartbeat(late);
        }
    }

    /** Loses the store and the other controllers, but not its workers. */
    void cutFromPeersAndStore(String node, World.Cut how, long forMicros) {
        cut(node, SimStore.NAME, how, forMicros);
        for (String n : simulation.names) {
            if (!n.equals(node)) {
                cut(node, n, how, forMicros);
            }
        }
    }

    /** A zone with its controllers and machines is cut off from everything outside. */
    void cutZone(String zone, World.Cut how, long forMicros) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of(SimStore.NAME, SimCloud.NAME));
        simulation.names.forEach(n -> (simulation.zoneOf(n).equals(zone) ? inside : outside).add(n));
        simulation.cloud.workers().forEach(w -> (w.zone.equals(zone) ? inside : outside).add(w.id));
        for (String a : inside) {
            boolean node = simulation.names.contains(a);
            for (String b : outside) {
                if (node || simulation.names.contains(b)) {
                    cut(a, b, how, forMicros);
                }
            }
            if (node) {
                simulation.unreachable.add(a);
                simulation.world.after(forMicros, () -> simulation.unreachable.remove(a));
            }
        }
    }

    void cutMachine(SimWorker w, World.Cut how, long forMicros) {
        for (String n : simulation.names) {
            cut(n, w.id, how, forMicros);
        }
    }
}
