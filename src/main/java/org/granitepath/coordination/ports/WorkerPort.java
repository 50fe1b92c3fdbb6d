package org.granitepath.coordination.ports;

import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Direct calls to workers. Every call answers once, later, on the event loop. */
public interface WorkerPort {
    /**
     * How a call ended.
     *
     * @param accepted whether the worker has taken the commands; otherwise it refused them, or did not answer
     * @param heartbeat the worker's status with its answer; null when none came
     */
    record Reply(boolean accepted, @Nullable Heartbeat heartbeat) {}

    /** Sends commands under a fencing token, for one agent epoch of the worker. */
    void sendCommands(
            String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands, Consumer<Reply> then);
}
