package org.granitepath.transport;

import io.undertow.util.Methods;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.PeerPort;
import org.granitepath.protocol.PeerCodec;

/** The other controllers' back addresses over HTTP. */
public final class PeerClient implements PeerPort {
    static final String PATH = "/greeting";
    private static final long TIMEOUT_MICROS = 900_000;

    private final HttpCalls http;
    private final Map<String, String> addresses;

    public PeerClient(HttpCalls http, Map<String, String> addresses) {
        this.http = http;
        this.addresses = addresses;
    }

    @Override
    public void greet(String peer, Greeting ours, Consumer<Greeting> then) {
        http.exchange(addresses.get(peer), Methods.POST, PATH, PeerCodec.encode(ours), "application/msgpack",
                TIMEOUT_MICROS, true, (status, body) -> then.accept(status == 200 ? PeerCodec.decode(body) : null));
    }
}
