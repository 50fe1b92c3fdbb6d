package org.granitepath.transport;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.protocol.CloudCodec;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.storage.MachineType;

/** Client of the cloud's HTTP API. */
public final class CloudClient implements CloudPort {
    private static final long TIMEOUT_MICROS = 5_000_000;

    private final JsonClient cloud;

    /** Creates a client of the cloud at {@code address}, given as HOST:PORT. */
    public CloudClient(HttpCalls http, String address) {
        this.cloud = new JsonClient(http, address, ConnectionPolicy.CLOSE, TIMEOUT_MICROS);
    }

    @Override
    public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
        cloud.get("/flavors", response -> {
            Map<String, Object> body = response.jsonIfOk();
            callback.accept(body == null ? null : CloudCodec.decodeMachineTypes(body));
        });
    }

    @Override
    public void launch(LaunchRequest request, Consumer<LaunchResult> callback) {
        cloud.post("/rentals", CloudCodec.encodeLaunch(request), response -> callback.accept(launchResult(response)));
    }

    private static LaunchResult launchResult(HttpResponse response) {
        Map<String, Object> body = response.json();
        if (response.isOk() && body != null) {
            return new LaunchResult(Outcome.OK, CloudCodec.decodeLaunchedMachines(body));
        }
        if (response.status() == HttpStatus.SERVICE_UNAVAILABLE && body != null && CloudCodec.isNoCapacity(body)) {
            return new LaunchResult(Outcome.NO_CAPACITY, List.of());
        }
        return new LaunchResult(response.isMissing() ? Outcome.UNKNOWN : Outcome.REFUSED, List.of());
    }

    @Override
    public void terminate(List<String> machineIds, Consumer<Boolean> callback) {
        cloud.post(
                "/rentals/return",
                CloudCodec.encodeTermination(machineIds),
                response -> callback.accept(response.isOk()));
    }

    @Override
    public void listMachines(String afterId, int limit, Consumer<Listing> callback) {
        String path = "/rentals?most=" + limit + (afterId.isEmpty() ? "" : "&from=" + afterId);
        cloud.get(path, response -> {
            Map<String, Object> body = response.jsonIfOk();
            callback.accept(
                    body == null
                            ? new Listing(Outcome.UNKNOWN, List.of(), false)
                            : new Listing(Outcome.OK, CloudCodec.decodeListing(body), CloudCodec.hasMore(body)));
        });
    }
}
