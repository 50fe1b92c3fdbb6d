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

    /** A controller that is up ends and comes back after a while. */
    void crash(String node, long downMicros) {
        SimNode crashed = simulation.nodes.get(node);
        if (crashed.controller() != null) {
            crashed.crash();
            simulation.environment.after(downMicros, crashed::boot);
        }
    }

    /** All controllers end at once; each comes back within the given time. */
    void crashAll(long maxDownMicros) {
        simulation.nodeNames.forEach(
                name -> crash(name, 20_000 + (long) (simulation.environment.random.nextDouble() * maxDownMicros)));
    }

    /** A controller ends and comes back with the next version, which knows of the next limits. */
    void upgrade(String node, long downMicros) {
        simulation.upgradedNodes.add(node);
        crash(node, downMicros);
    }

    /** A controller stands still while its clocks run on. */
    void pause(String node, long durationMicros) {
        simulation.environment.pause(node);
        simulation.environment.after(durationMicros, () -> simulation.environment.resume(node));
    }

    /** Nothing passes between the two, in either direction. */
    void partition(String one, String other, SimEnvironment.PartitionMode mode, long durationMicros) {
        simulation.environment.partition(one, other, mode);
        simulation.environment.after(durationMicros, () -> simulation.environment.heal(one, other));
    }

    /** A controller loses all machines that are up. */
    void partitionFromWorkers(String node, SimEnvironment.PartitionMode mode, long durationMicros) {
        for (SimWorker worker : simulation.cloud.workers()) {
            partition(node, worker.id, mode, durationMicros);
        }
    }

    /** Its heartbeats arrive, but neither answers nor commands reach it. */
    void dropMessagesTo(SimWorker worker, long durationMicros) {
        for (String name : simulation.nodeNames) {
            simulation.environment.blockOneWay(name, worker.id);
            simulation.environment.after(durationMicros, () -> simulation.environment.heal(name, worker.id));
        }
    }

    /** Answers and commands reach it, but its heartbeats are lost. */
    void dropHeartbeatsFrom(SimWorker worker, long durationMicros) {
        worker.setHeartbeatsDropped(true);
        simulation.environment.after(durationMicros, () -> worker.setHeartbeatsDropped(false));
    }

    /** A copy of a heartbeat arrives at the leader; its answer gets lost. */
    void deliverHeartbeat(Heartbeat heartbeat) {
        deliverHeartbeat(simulation.leader(), heartbeat);
    }

    /** The same at one controller. */
    void deliverHeartbeat(String node, Heartbeat heartbeat) {
        Controller controller = simulation.controllerAt(node);
        if (controller != null) {
            controller.handleHeartbeat(heartbeat);
        }
    }

    /** Loses the store and the other controllers, but not its workers. */
    void partitionFromPeersAndStore(String node, SimEnvironment.PartitionMode mode, long durationMicros) {
        partition(node, SimStore.NAME, mode, durationMicros);
        for (String name : simulation.nodeNames) {
            if (!name.equals(node)) {
                partition(node, name, mode, durationMicros);
            }
        }
    }

    /** A zone with its controllers and machines is cut off from everything outside. */
    void partitionZone(String zone, SimEnvironment.PartitionMode mode, long durationMicros) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of(SimStore.NAME, SimCloud.NAME));
        simulation.nodeNames.forEach(name -> (simulation.zoneOf(name).equals(zone) ? inside : outside).add(name));
        simulation.cloud.workers().forEach(worker -> (worker.zone.equals(zone) ? inside : outside).add(worker.id));
        for (String here : inside) {
            boolean node = simulation.nodeNames.contains(here);
            for (String there : outside) {
                if (node || simulation.nodeNames.contains(there)) {
                    partition(here, there, mode, durationMicros);
                }
            }
            if (node) {
                simulation.nodesUnreachableByUsers.add(here);
                simulation.environment.after(durationMicros, () -> simulation.nodesUnreachableByUsers.remove(here));
            }
        }
    }

    /** A machine loses all controllers. */
    void partitionMachine(SimWorker worker, SimEnvironment.PartitionMode mode, long durationMicros) {
        for (String name : simulation.nodeNames) {
            partition(name, worker.id, mode, durationMicros);
        }
    }
}
