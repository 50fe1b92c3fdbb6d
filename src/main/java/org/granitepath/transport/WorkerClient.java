package org.granitepath.transport;

import io.undertow.util.Methods;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.WorkerCodec;
import org.jspecify.annotations.Nullable;

/** Direct calls to workers over HTTP. */
public final class WorkerClient implements WorkerPort {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final HttpCalls http;

    /** Calls workers through {@code http}. */
    public WorkerClient(HttpCalls http) {
        this.http = http;
    }

    @Override
    public void send(
            String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands, Consumer<Reply> then) {
        http.call(
                address,
                Methods.POST,
                "/orders",
                WorkerCodec.encodeCommands(fencingToken, agentEpoch, commands),
                TIMEOUT_MICROS,
                HttpCalls.AfterCall.CLOSE,
                (status, body) -> then.accept(reply(status, body)));
    }

    /** A worker that refuses, as it has another fencing token or agent epoch, tells its state all the same. */
    private static Reply reply(int status, @Nullable String body) {
        boolean accepted = status == HttpStatus.OK;
        boolean hasHeartbeat = accepted || status == HttpStatus.CONFLICT;
        return new Reply(accepted, hasHeartbeat && body != null ? WorkerCodec.decodeHeartbeat(body) : null);
    }
}
