package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.Heartbeat;

/** Injects faults of controllers, machines and the network. {@link SimStore} and {@link SimCloud} have their own. */
final class SimFaults {
    private final Simulation simulation;

    SimFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Crashes a controller, if it is up, and boots it again after the given time. */
    void crash(String node, long downMicros) {
        SimNode crashed = simulation.nodes.get(node);
        if (crashed.controller() != null) {
            crashed.crash();
            simulation.environment.after(downMicros, crashed::boot);
        }
    }

    /** Crashes all controllers at once; each boots again after 20 ms plus a random part of the given time. */
    void crashAll(long maxDownMicros) {
        simulation.nodeNames.forEach(
                name -> crash(name, 20_000 + (long) (simulation.environment.random.nextDouble() * maxDownMicros)));
    }

    /** Restarts a controller with the next version, which respects {@link Simulation#upgradedLimits}. */
    void upgrade(String node, long downMicros) {
        simulation.upgradedNodes.add(node);
        crash(node, downMicros);
    }

    /** Pauses the process of a controller while its clocks run on. */
    void pause(String node, long durationMicros) {
        simulation.environment.pause(node);
        simulation.environment.after(durationMicros, () -> simulation.environment.resume(node));
    }

    /** Partitions two hosts in both directions. */
    void partition(String one, String other, SimEnvironment.PartitionMode mode, long durationMicros) {
        simulation.environment.partition(one, other, mode);
        simulation.environment.after(durationMicros, () -> simulation.environment.heal(one, other));
    }

    /** Partitions a controller from all machines that are up. */
    void partitionFromWorkers(String node, SimEnvironment.PartitionMode mode, long durationMicros) {
        for (SimWorker worker : simulation.cloud.workers()) {
            partition(node, worker.id, mode, durationMicros);
        }
    }

    /** Drops responses and commands to a machine, whose heartbeats still arrive. */
    void dropMessagesTo(SimWorker worker, long durationMicros) {
        for (String name : simulation.nodeNames) {
            simulation.environment.blockOneWay(name, worker.id);
            simulation.environment.after(durationMicros, () -> simulation.environment.heal(name, worker.id));
        }
    }

    /** Drops the heartbeats of a machine, which still receives commands. */
    void dropHeartbeatsFrom(SimWorker worker, long durationMicros) {
        worker.setHeartbeatsDropped(true);
        simulation.environment.after(durationMicros, () -> worker.setHeartbeatsDropped(false));
    }

    /** Delivers a copy of a heartbeat to the leader and drops the response. */
    void deliverHeartbeat(Heartbeat heartbeat) {
        deliverHeartbeat(simulation.leader(), heartbeat);
    }

    /** Delivers a copy of a heartbeat to one controller, if it is up, and drops the response. */
    void deliverHeartbeat(String node, Heartbeat heartbeat) {
        Controller controller = simulation.controllerAt(node);
        if (controller != null) {
            controller.handleHeartbeat(heartbeat);
        }
    }

    /** Partitions a controller from the store and the other controllers, but not from machines. */
    void partitionFromPeersAndStore(String node, SimEnvironment.PartitionMode mode, long durationMicros) {
        partition(node, SimStore.NAME, mode, durationMicros);
        for (String name : simulation.nodeNames) {
            if (!name.equals(node)) {
                partition(node, name, mode, durationMicros);
            }
        }
    }

    /**
     * Partitions the controllers and machines of a zone from the controllers and machines of other zones, the store and
     * the cloud. Users get no answers from the controllers of the zone meanwhile.
     */
    void partitionZone(String zone, SimEnvironment.PartitionMode mode, long durationMicros) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of(SimStore.NAME, SimCloud.NAME));
        simulation.nodeNames.forEach(name -> (simulation.zoneOf(name).equals(zone) ? inside : outside).add(name));
        simulation.cloud.workers().forEach(worker -> (worker.zone.equals(zone) ? inside : outside).add(worker.id));
        for (String insideHost : inside) {
            boolean isController = simulation.nodeNames.contains(insideHost);
            for (String outsideHost : outside) {
                if (isController || simulation.nodeNames.contains(outsideHost)) {
                    partition(insideHost, outsideHost, mode, durationMicros);
                }
            }
            if (isController) {
                simulation.nodesUnreachableByUsers.add(insideHost);
                simulation.environment.after(
                        durationMicros, () -> simulation.nodesUnreachableByUsers.remove(insideHost));
            }
        }
    }

    /** Partitions a machine from all controllers. */
    void partitionMachine(SimWorker worker, SimEnvironment.PartitionMode mode, long durationMicros) {
        for (String name : simulation.nodeNames) {
            partition(name, worker.id, mode, durationMicros);
        }
    }
}
