package org.granitepath.transport;

import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.protocol.Json;
import org.granitepath.protocol.KeyValueStoreCodec;
import org.granitepath.storage.Fields;
import org.granitepath.storage.KeyValueStore;

/** The store over HTTP. */
public final class KeyValueStoreClient implements KeyValueStore {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final HttpCalls http;
    private final String address;

    /** Calls the store at this address. */
    public KeyValueStoreClient(HttpCalls http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public void commit(Transaction transaction, Consumer<Committed> then) {
        http.call(
                address,
                Methods.POST,
                "/commit",
                KeyValueStoreCodec.encodeTransaction(transaction),
                TIMEOUT_MICROS,
                true,
                (status, body) -> {
                    Map<String, Object> m = status == 0 ? null : Json.object(body);
                    Outcome outcome = outcome(status, m);
                    then.accept(new Committed(
                            outcome,
                            m == null ? 0 : Fields.longOf(m, "epoch", 0),
                            m == null
                                    ? List.of()
                                    : Fields.listOf(m, "failed").stream()
                                            .map(String::valueOf)
                                            .toList()));
                });
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<Page> then) {
        String path = "/keys?prefix=" + prefix + (from.isEmpty() ? "" : "&from=" + from) + "&most=" + limit;
        http.call(address, Methods.GET, path, null, TIMEOUT_MICROS, true, (status, body) -> {
            Map<String, Object> m = status == 0 ? null : Json.object(body);
            then.accept(status == 200 && m != null ? KeyValueStoreCodec.decodeList(m) : failed(outcome(status, m)));
        });
    }

    @Override
    public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
        String path = "/follow?prefix=" + prefix + "&from=" + from + "&wait_ms=" + waitMicros / 1000;
        http.call(address, Methods.GET, path, null, waitMicros + TIMEOUT_MICROS, true, (status, body) -> {
            Map<String, Object> m = status == 0 ? null : Json.object(body);
            then.accept(status == 200 && m != null ? KeyValueStoreCodec.decodeFollow(m) : failed(outcome(status, m)));
        });
    }

    @Override
    public void openLease(long lifeMicros, Consumer<Leased> then) {
        http.call(
                address,
                Methods.POST,
                "/leases",
                KeyValueStoreCodec.encodeLease(lifeMicros),
                TIMEOUT_MICROS,
                true,
                (status, body) -> {
                    Map<String, Object> m = status == 0 ? null : Json.object(body);
                    then.accept(new Leased(outcome(status, m), m == null ? 0 : KeyValueStoreCodec.decodeLease(m)));
                });
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> then) {
        http.call(
                address,
                Methods.POST,
                "/leases/" + lease + "/touch",
                "{}",
                TIMEOUT_MICROS / 2,
                true,
                (status, body) -> then.accept(status == 200 ? Outcome.OK : outcome(status, Map.of())));
    }

    private static Page failed(Outcome outcome) {
        return new Page(outcome, List.of(), false, 0);
    }

    private static Outcome outcome(int status, Map<String, Object> body) {
        return switch (status) {
            case 0 -> Outcome.UNKNOWN;
            case 200, 201 -> body == null ? Outcome.UNKNOWN : Outcome.OK;
            case 400 -> Outcome.REJECTED;
            case 404 -> Outcome.NOT_FOUND;
            case 409 -> Outcome.CONFLICT;
            case 410 -> Outcome.GONE;
            default -> Outcome.REFUSED;
        };
    }
}
