package org.granitepath.coordination.ports;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** The response to a worker's heartbeat. */
public sealed interface HeartbeatResponse {
    /** The heartbeat is accepted: the worker's lease is renewed, and the worker executes the commands. */
    record Accepted(long fencingToken, List<WorkerCommand> commands) implements HeartbeatResponse {}

    /**
     * The worker sends its heartbeats to another controller.
     *
     * @param node the node name of the leader, or null if this controller does not know it
     */
    record Redirect(@Nullable String node) implements HeartbeatResponse {}

    /** This controller cannot answer the worker, which tries the next controller. */
    record Unavailable() implements HeartbeatResponse {}
}
