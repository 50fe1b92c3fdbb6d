package org.granitepath.transport;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.protocol.CloudCodec;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.storage.MachineType;

/** The cloud over HTTP. */
public final class CloudClient implements CloudPort {
    private static final long TIMEOUT_MICROS = 5_000_000;

    private final JsonClient cloud;

    /** Calls the cloud at this address. */
    public CloudClient(HttpCalls http, String address) {
        this.cloud = new JsonClient(http, address, ConnectionPolicy.CLOSE, TIMEOUT_MICROS);
    }

    @Override
    public void fetchMachineTypes(Consumer<List<MachineType>> then) {
        cloud.get("/flavors", answer -> {
            Map<String, Object> body = answer.jsonIfOk();
            then.accept(body == null ? null : CloudCodec.decodeMachineTypes(body));
        });
    }

    @Override
    public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
        cloud.post("/rentals", CloudCodec.encodeLaunch(request), answer -> then.accept(launchResult(answer)));
    }

    private static LaunchResult launchResult(HttpResponse answer) {
        Map<String, Object> body = answer.json();
        if (answer.isOk() && body != null) {
            return new LaunchResult(Outcome.OK, CloudCodec.decodeLaunchedMachines(body));
        }
        if (answer.status() == HttpStatus.SERVICE_UNAVAILABLE && body != null && CloudCodec.isNoCapacity(body)) {
            return new LaunchResult(Outcome.NO_CAPACITY, List.of());
        }
        return new LaunchResult(answer.isMissing() ? Outcome.UNKNOWN : Outcome.REFUSED, List.of());
    }

    @Override
    public void terminate(List<String> hosts, Consumer<Boolean> then) {
        cloud.post("/rentals/return", CloudCodec.encodeTermination(hosts), answer -> then.accept(answer.isOk()));
    }

    @Override
    public void listMachines(String from, int limit, Consumer<Listing> then) {
        String path = "/rentals?most=" + limit + (from.isEmpty() ? "" : "&from=" + from);
        cloud.get(path, answer -> {
            Map<String, Object> body = answer.jsonIfOk();
            then.accept(
                    body == null
                            ? new Listing(Outcome.UNKNOWN, List.of(), false)
                            : new Listing(Outcome.OK, CloudCodec.decodeListing(body), CloudCodec.hasMore(body)));
        });
    }
}
