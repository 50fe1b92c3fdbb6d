package org.granitepath.simulation;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;

/** The simulated connections of controllers to each other and to machines. */
final class SimPorts {
    private final Simulation simulation;

    SimPorts(Simulation simulation) {
        this.simulation = simulation;
    }

    /** The connection of a controller to its peers. */
    PeerPort peerPort(String node) {
        return new PeerCalls(node);
    }

    /** The connection of a controller to machines. */
    WorkerPort workerPort(String node) {
        return new DirectCalls(node);
    }

    /** Calls from one controller to its peers. */
    private final class PeerCalls implements PeerPort {
        private final String node;

        PeerCalls(String node) {
            this.node = node;
        }

        @Override
        public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> then) {
            call(peer, (controller, answer) -> answer.accept(controller.handlePeerStatus(ownStatus)), then);
        }

        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
            this.<Boolean>call(
                    peer,
                    (controller, answer) -> {
                        if (!simulation.dropPeerCancellations) {
                            controller.handleCancellationNotice(notice);
                            answer.accept(true);
                        }
                    },
                    acknowledged -> then.accept(acknowledged != null));
        }

        /** A peer that is down does not answer. */
        private <T> void call(String peer, BiConsumer<Controller, Consumer<T>> serve, Consumer<T> then) {
            simulation.environment.<T>callAsync(
                    node,
                    peer,
                    Simulation.SECOND,
                    answer -> {
                        Controller controller = simulation.controllerAt(peer);
                        if (controller != null) {
                            serve.accept(controller, answer);
                        }
                    },
                    then);
        }
    }

    /** Calls from one controller to machines. */
    private final class DirectCalls implements WorkerPort {
        private final String node;
        private int callsInFlight;

        DirectCalls(String node) {
            this.node = node;
        }

        @Override
        public void sendCommands(
                String address,
                long fencingToken,
                long agentEpoch,
                List<WorkerCommand> commands,
                Consumer<Reply> then) {
            long term = simulation.controllerAt(node).fencingToken();
            simulation.commands.recordCommands(term, node, address, commands);
            simulation.lateCopies.add(address, fencingToken, agentEpoch, commands);
            boolean starts = commands.stream().anyMatch(command -> command.verb() == WorkerCommand.Verb.START);
            simulation.maxConcurrentCalls = Math.max(simulation.maxConcurrentCalls, ++callsInFlight);
            simulation.environment.<Reply>callAsync(
                    node,
                    address,
                    2 * Simulation.SECOND,
                    answer -> {
                        Runnable serve = () -> serveWhenResponsive(
                                address, worker -> worker.handleCommands(fencingToken, agentEpoch, commands), answer);
                        if (starts && simulation.directStartDelayMicros > 0) {
                            simulation.environment.after(simulation.directStartDelayMicros, serve);
                        } else {
                            serve.run();
                        }
                    },
                    reply -> {
                        callsInFlight--;
                        if (reply != null) {
                            simulation.commands.recordHeartbeat(term, address);
                        }
                        then.accept(reply == null ? new Reply(false, null) : reply);
                    });
        }

        /** Serves a call, or retries every 0.3 s while the machine hangs; a machine that is gone does not answer. */
        private void serveWhenResponsive(String address, Function<SimWorker, Reply> serve, Consumer<Reply> answer) {
            SimWorker worker = simulation.cloud.worker(address);
            if (worker == null) {
                return;
            }
            if (worker.isHanging()) {
                simulation.environment.after(300_000, () -> serveWhenResponsive(address, serve, answer));
            } else {
                answer.accept(serve.apply(worker));
            }
        }
    }
}
