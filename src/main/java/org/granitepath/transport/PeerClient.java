package org.granitepath.transport;

import io.undertow.util.Methods;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.PeerCodec;

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
        http.exchange(
                address(peer),
                Methods.POST,
                STATUS_PATH,
                PeerCodec.encode(ours),
                CONTENT_TYPE,
                TIMEOUT_MICROS,
                HttpCalls.AfterCall.KEEP,
                (status, body) -> then.accept(status == HttpStatus.OK && body != null ? PeerCodec.decode(body) : null));
    }

    /** Peers are those of the settings, which have an address for each. */
    private String address(String peer) {
        return Objects.requireNonNull(addresses.get(peer), () -> "no address of peer " + peer);
    }

    @Override
    public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
        http.exchange(
                address(peer),
                Methods.POST,
                CANCELLATION_PATH,
                PeerCodec.encode(notice),
                CONTENT_TYPE,
                TIMEOUT_MICROS,
                HttpCalls.AfterCall.KEEP,
                (status, body) -> then.accept(status == HttpStatus.OK));
    }
}
