package org.granitepath.coordination.ports;

import java.util.List;
import java.util.function.Consumer;

/** Direct calls to workers. Every call answers once, later, on the event loop. */
public interface WorkerPort {
    /** {@code executed} false: refused, or no answer at all; then {@code report} is null when nothing was heard. */
    record Reply(boolean executed, Heartbeat heartbeat) {}

    /** Sends commands under a fencing token, for one agent epoch of the worker. */
    void send(String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands, Consumer<Reply> then);
}
