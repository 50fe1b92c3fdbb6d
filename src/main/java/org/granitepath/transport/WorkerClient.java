package org.granitepath.transport;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.WorkerCodec;

/** Direct calls to workers over HTTP. */
public final class WorkerClient implements WorkerPort {
    private static final String COMMANDS_PATH = "/orders";
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final HttpCalls http;

    /** Calls workers through {@code http}. */
    public WorkerClient(HttpCalls http) {
        this.http = http;
    }

    @Override
    public void sendCommands(
            String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands, Consumer<Reply> then) {
        OutgoingRequest request = OutgoingRequest.postJson(
                address,
                COMMANDS_PATH,
                WorkerCodec.encodeCommands(fencingToken, agentEpoch, commands),
                ConnectionPolicy.CLOSE);
        http.call(request, TIMEOUT_MICROS, answer -> then.accept(reply(answer)));
    }

    /** A worker that refuses, as it has another fencing token or agent epoch, tells its state all the same. */
    private static Reply reply(HttpResponse answer) {
        String text = answer.text();
        boolean hasHeartbeat = answer.isOk() || answer.status() == HttpStatus.CONFLICT;
        return new Reply(answer.isOk(), hasHeartbeat && text != null ? WorkerCodec.decodeHeartbeat(text) : null);
    }
}
