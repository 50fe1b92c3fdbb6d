package org.granitepath.transport;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.KeyValueStoreCodec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.Micros;
import org.jspecify.annotations.Nullable;

/** Client of the key-value store's HTTP API. */
public final class KeyValueStoreClient implements KeyValueStore {
    private static final long TIMEOUT_MICROS = 2_000_000;
    /** A renewal must end early enough for another attempt before the lease expires. */
    private static final long RENEWAL_TIMEOUT_MICROS = TIMEOUT_MICROS / 2;

    private static final String EMPTY_OBJECT = "{}";

    private final JsonClient store;

    /** Creates a client of the store at {@code address}, given as HOST:PORT. */
    public KeyValueStoreClient(HttpCalls http, String address) {
        this.store = new JsonClient(http, address, ConnectionPolicy.KEEP_ALIVE, TIMEOUT_MICROS);
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        store.post("/commit", KeyValueStoreCodec.encodeTransaction(transaction), response -> {
            Map<String, Object> body = response.json();
            Outcome outcome = outcome(response.status(), body);
            callback.accept(
                    body == null
                            ? new CommitResult(outcome, 0, List.of())
                            : KeyValueStoreCodec.decodeCommitResult(outcome, body));
        });
    }

    @Override
    public void list(String prefix, String afterKey, int limit, Consumer<Page> callback) {
        String path = "/keys?prefix=" + prefix + (afterKey.isEmpty() ? "" : "&from=" + afterKey) + "&most=" + limit;
        store.get(path, response -> callback.accept(page(response, KeyValueStoreCodec::decodeList)));
    }

    @Override
    public void follow(String prefix, long afterRevision, long waitMicros, Consumer<Page> callback) {
        String path =
                "/follow?prefix=" + prefix + "&from=" + afterRevision + "&wait_ms=" + waitMicros / Micros.PER_MILLI;
        store.get(
                path,
                waitMicros + TIMEOUT_MICROS,
                response -> callback.accept(page(response, KeyValueStoreCodec::decodeEvents)));
    }

    @Override
    public void openLease(long ttlMicros, Consumer<LeaseResult> callback) {
        store.post("/leases", KeyValueStoreCodec.encodeLeaseRequest(ttlMicros), response -> {
            Map<String, Object> body = response.json();
            long leaseId = body == null ? 0 : KeyValueStoreCodec.decodeLeaseId(body);
            callback.accept(new LeaseResult(outcome(response.status(), body), leaseId));
        });
    }

    @Override
    public void renewLease(long leaseId, Consumer<Outcome> callback) {
        store.post(
                "/leases/" + leaseId + "/touch",
                EMPTY_OBJECT,
                RENEWAL_TIMEOUT_MICROS,
                // The status determines the outcome; the body is ignored.
                response -> callback.accept(outcome(response.status(), Map.of())));
    }

    private static Page page(HttpResponse response, Function<Map<String, Object>, Page> decoder) {
        Map<String, Object> body = response.json();
        return response.isOk() && body != null
                ? decoder.apply(body)
                : new Page(outcome(response.status(), body), List.of(), false, 0);
    }

    /**
     * Returns the outcome of a request.
     *
     * @param body null if it is missing or not a JSON object; a successful status then has an unknown outcome
     */
    private static Outcome outcome(int status, @Nullable Map<String, Object> body) {
        return switch (status) {
            case HttpStatus.NO_RESPONSE -> Outcome.UNKNOWN;
            case HttpStatus.OK, HttpStatus.CREATED -> body == null ? Outcome.UNKNOWN : Outcome.OK;
            case HttpStatus.BAD_REQUEST -> Outcome.INVALID;
            case HttpStatus.NOT_FOUND -> Outcome.NOT_FOUND;
            case HttpStatus.CONFLICT -> Outcome.CONFLICT;
            case HttpStatus.GONE -> Outcome.GONE;
            default -> Outcome.REFUSED;
        };
    }
}
