package org.granitepath.transport;

import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.protocol.PeerCodec;
import org.jspecify.annotations.Nullable;

/** HTTP client of the other controllers' peer interfaces. */
public final class PeerClient implements PeerPort {
    static final String STATUS_PATH = "/greeting";
    static final String CANCELLATION_PATH = "/cancelled";
    private static final String CONTENT_TYPE = "application/msgpack";
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpCalls http;
    private final Map<String, String> addresses;

    /**
     * Creates a client.
     *
     * @param addresses HOST:PORT of each other controller's peer interface, by node name
     */
    public PeerClient(HttpCalls http, Map<String, String> addresses) {
        this.http = http;
        this.addresses = addresses;
    }

    @Override
    public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> callback) {
        post(peer, STATUS_PATH, PeerCodec.encode(ownStatus), response -> callback.accept(decodeStatus(response)));
    }

    private static @Nullable PeerStatus decodeStatus(HttpResponse response) {
        byte[] body = response.body();
        return response.isOk() && body != null ? PeerCodec.decodeStatus(body) : null;
    }

    @Override
    public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> callback) {
        post(peer, CANCELLATION_PATH, PeerCodec.encode(notice), response -> callback.accept(response.isOk()));
    }

    private void post(String peer, String path, byte[] message, Consumer<HttpResponse> callback) {
        // Peers come from the settings, which have an address for each of them.
        String address =
                Objects.requireNonNull(addresses.get(peer), () -> "no address in the settings for peer " + peer);
        http.call(
                OutgoingRequest.post(address, path, CONTENT_TYPE, message, ConnectionPolicy.KEEP_ALIVE),
                TIMEOUT_MICROS,
                callback);
    }
}
