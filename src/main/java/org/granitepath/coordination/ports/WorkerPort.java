package org.granitepath.coordination.ports;

import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Direct calls to workers. Every call returns at once and passes its result to {@code callback} exactly once, later, on
 * the event loop.
 */
public interface WorkerPort {
    /**
     * The result of a call.
     *
     * @param accepted whether the worker has accepted the commands; otherwise it refused them or did not answer
     * @param heartbeat the status that the worker sent in its answer, or null if there is none
     */
    record Reply(boolean accepted, @Nullable Heartbeat heartbeat) {}

    /**
     * Sends commands to a worker.
     *
     * @param fencingToken the token under which the commands are sent
     * @param agentEpoch the agent epoch of the worker that the commands are meant for
     */
    void sendCommands(
            String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands, Consumer<Reply> callback);
}
