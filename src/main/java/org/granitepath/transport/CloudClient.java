package org.granitepath.transport;

import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.protocol.CloudCodec;
import org.granitepath.protocol.Json;
import org.granitepath.storage.MachineType;

/** The cloud over HTTP. */
public final class CloudClient implements CloudPort {
    private static final long TIMEOUT_MICROS = 5_000_000;

    private final HttpCalls http;
    private final String address;

    /** Calls the cloud at this address. */
    public CloudClient(HttpCalls http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public void types(Consumer<List<MachineType>> then) {
        http.call(address, Methods.GET, "/flavors", null, TIMEOUT_MICROS, false, (status, body) -> {
            Map<String, Object> m = status == 200 ? Json.object(body) : null;
            then.accept(m == null ? null : CloudCodec.decodeTypes(m));
        });
    }

    @Override
    public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
        http.call(
                address,
                Methods.POST,
                "/rentals",
                CloudCodec.encodeLaunch(request),
                TIMEOUT_MICROS,
                false,
                (status, body) -> {
                    Map<String, Object> m = status == 0 ? null : Json.object(body);
                    if (status == 200 && m != null) {
                        then.accept(new LaunchResult(Outcome.OK, CloudCodec.decodeHosts(m)));
                    } else if (status == 503 && m != null && "no capacity".equals(m.get("error"))) {
                        then.accept(new LaunchResult(Outcome.NO_CAPACITY, List.of()));
                    } else {
                        then.accept(new LaunchResult(status == 0 ? Outcome.UNKNOWN : Outcome.REFUSED, List.of()));
                    }
                });
    }

    @Override
    public void terminate(List<String> hosts, Consumer<Boolean> then) {
        http.call(
                address,
                Methods.POST,
                "/rentals/return",
                CloudCodec.encodeHosts(hosts),
                TIMEOUT_MICROS,
                false,
                (status, body) -> then.accept(status == 200));
    }

    @Override
    public void list(String from, int limit, Consumer<Listing> then) {
        String path = "/rentals?most=" + limit + (from.isEmpty() ? "" : "&from=" + from);
        http.call(address, Methods.GET, path, null, TIMEOUT_MICROS, false, (status, body) -> {
            Map<String, Object> m = status == 200 ? Json.object(body) : null;
            then.accept(
                    m == null
                            ? new Listing(Outcome.UNKNOWN, List.of(), false)
                            : new Listing(
                                    Outcome.OK, CloudCodec.decodeListing(m), Boolean.TRUE.equals(m.get("has_next"))));
        });
    }
}
