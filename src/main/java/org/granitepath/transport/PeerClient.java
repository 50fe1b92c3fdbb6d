package org.granitepath.transport;

import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.protocol.PeerCodec;
import org.jspecify.annotations.Nullable;

/** The other controllers over HTTP, each at its peer address. */
public final class PeerClient implements PeerPort {
    static final String STATUS_PATH = "/greeting";
    static final String CANCELLATION_PATH = "/cancelled";
    private static final String CONTENT_TYPE = "application/msgpack";
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpCalls http;
    private final Map<String, String> addresses;

    /** Calls the other controllers, each at its address. */
    public PeerClient(HttpCalls http, Map<String, String> addresses) {
        this.http = http;
        this.addresses = addresses;
    }

    @Override
    public void exchangeStatus(String peer, PeerStatus ours, Consumer<PeerStatus> then) {
        post(peer, STATUS_PATH, PeerCodec.encode(ours), answer -> then.accept(status(answer)));
    }

    private static @Nullable PeerStatus status(HttpResponse answer) {
        byte[] body = answer.body();
        return answer.isOk() && body != null ? PeerCodec.decodeStatus(body) : null;
    }

    @Override
    public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
        post(peer, CANCELLATION_PATH, PeerCodec.encode(notice), answer -> then.accept(answer.isOk()));
    }

    private void post(String peer, String path, byte[] message, Consumer<HttpResponse> then) {
        // Peers are those of the settings, which have an address for each.
        String address = Objects.requireNonNull(addresses.get(peer), () -> "no address of peer " + peer);
        http.call(
                OutgoingRequest.post(address, path, CONTENT_TYPE, message, ConnectionPolicy.KEEP_ALIVE),
                TIMEOUT_MICROS,
                then);
    }
}
