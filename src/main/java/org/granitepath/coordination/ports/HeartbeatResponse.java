package org.granitepath.coordination.ports;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** What a worker is told: commands, another controller to send heartbeats to, or to try elsewhere. */
public sealed interface HeartbeatResponse {
    /** The worker stays here, and its lease is renewed. */
    record Accepted(long fencingToken, List<WorkerCommand> commands) implements HeartbeatResponse {}

    /** {@code node} null: not here, and the leader is not known. */
    record Redirect(@Nullable String node) implements HeartbeatResponse {}

    /** The worker tries the next controller. */
    record Unavailable() implements HeartbeatResponse {}
}
