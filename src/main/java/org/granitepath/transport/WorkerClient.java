package org.granitepath.transport;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.WorkerCodec;

/** HTTP client of the workers, for commands that a controller sends outside the responses to heartbeats. */
public final class WorkerClient implements WorkerPort {
    private static final String COMMANDS_PATH = "/orders";
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final HttpCalls http;

    /** Creates a client that calls workers through {@code http}. */
    public WorkerClient(HttpCalls http) {
        this.http = http;
    }

    @Override
    public void sendCommands(
            String address,
            long fencingToken,
            long agentEpoch,
            List<WorkerCommand> commands,
            Consumer<Reply> callback) {
        OutgoingRequest request = OutgoingRequest.postJson(
                address,
                COMMANDS_PATH,
                WorkerCodec.encodeCommands(fencingToken, agentEpoch, commands),
                ConnectionPolicy.CLOSE);
        http.call(request, TIMEOUT_MICROS, response -> callback.accept(toReply(response)));
    }

    /** A worker that rejects commands because its fencing token or agent epoch differs still returns its state. */
    private static Reply toReply(HttpResponse response) {
        String text = response.text();
        boolean hasHeartbeat = response.isOk() || response.status() == HttpStatus.CONFLICT;
        return new Reply(response.isOk(), hasHeartbeat && text != null ? WorkerCodec.decodeHeartbeat(text) : null);
    }
}
