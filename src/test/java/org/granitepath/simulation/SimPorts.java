package org.granitepath.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;

/** How controllers reach one another and the machines. */
final class SimPorts {
    private final Simulation simulation;

    SimPorts(Simulation simulation) {
        this.simulation = simulation;
    }

    PeerPort peerPort(String node) {
        return new PeerPort() {
            @Override
            public void exchangeStatus(String peer, PeerStatus ours, Consumer<PeerStatus> then) {
                simulation.world.<PeerStatus>callLater(
                        node,
                        peer,
                        Simulation.SECOND,
                        answer -> {
                            Controller c = simulation.nodes.get(peer).controller;
                            if (c != null) {
                                answer.accept(c.statusReceived(ours));
                            }
                        },
                        then);
            }

            @Override
            public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
                simulation.world.<Boolean>callLater(
                        node,
                        peer,
                        Simulation.SECOND,
                        answer -> {
                            Controller c = simulation.nodes.get(peer).controller;
                            if (c != null && !simulation.peersSendNoCancellations) {
                                c.cancellationReceived(notice);
                                answer.accept(true);
                            }
                        },
                        taken -> then.accept(taken != null));
            }
        };
    }

    WorkerPort workerPort(String node) {
        return new WorkerPort() {
            private int calls;

            @Override
            public void send(
                    String address,
                    long fencingToken,
                    long agentEpoch,
                    List<WorkerCommand> commands,
                    Consumer<Reply> then) {
                long term = simulation.nodes.get(node).controller.fencingToken();
                simulation.commands.sent(term, node, address, commands);
                boolean starts = commands.stream().anyMatch(o -> o.verb() == WorkerCommand.Verb.START);
                simulation.mostCalls = Math.max(simulation.mostCalls, ++calls);
                simulation.world.<Reply>callLater(
                        node,
                        address,
                        2 * Simulation.SECOND,
                        answer -> {
                            Runnable serve = () -> serveWhenAwake(
                                    address, w -> w.commands(fencingToken, agentEpoch, commands), answer);
                            if (starts && simulation.heldStarts > 0) {
                                simulation.world.after(simulation.heldStarts, serve);
                            } else {
                                serve.run();
                            }
                        },
                        r -> {
                            calls--;
                            if (r != null) {
                                simulation.commands.heard(term, address);
                            }
                            then.accept(r == null ? new Reply(false, null) : r);
                        });
            }

            // A hanging machine carries commands out when it goes on.
            private void serveWhenAwake(
                    String address, java.util.function.Function<SimWorker, Reply> serve, Consumer<Reply> answer) {
                for (SimWorker w : simulation.cloud.workers()) {
                    if (w.id.equals(address)) {
                        if (w.hangs()) {
                            simulation.world.after(300_000, () -> serveWhenAwake(address, serve, answer));
                        } else {
                            answer.accept(serve.apply(w));
                        }
                    }
                }
            }
        };
    }
}
