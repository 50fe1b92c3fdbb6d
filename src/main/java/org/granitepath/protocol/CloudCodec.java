package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.CloudPort.HostState;
import org.granitepath.coordination.ports.CloudPort.LaunchRequest;
import org.granitepath.coordination.ports.CloudPort.ListedHost;
import org.granitepath.storage.Fields;
import org.granitepath.storage.MachineType;

/** Calls to the cloud. */
public final class CloudCodec {
    private CloudCodec() {}

    /** Reads the machine types that the cloud launches. */
    @SuppressWarnings("unchecked")
    public static List<MachineType> decodeTypes(Map<String, Object> body) {
        List<MachineType> types = new ArrayList<>();
        for (Object o : Fields.listOf(body, "models")) {
            Map<String, Object> m = (Map<String, Object>) o;
            types.add(new MachineType(
                    Fields.textOf(m, "sku"),
                    millis(m, "cpus"),
                    millis(m, "cards"),
                    millis(m, "mem_gb"),
                    Math.max(0.001, Fields.doubleOf(m, "fetch_gb_per_s", 0.1)),
                    Fields.doubleOf(m, "rate", 0),
                    Fields.doubleOf(m, "market_price", 0),
                    Math.round(Fields.doubleOf(m, "ready_s", 60) * 1e6),
                    Fields.listOf(m, "sites").stream().map(String::valueOf).toList()));
        }
        return types;
    }

    private static long millis(Map<String, Object> m, String name) {
        return (long) Math.floor(Fields.doubleOf(m, name, 0) * 1000 + 1e-6);
    }

    /** The request for a launch. */
    public static String encodeLaunch(LaunchRequest r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("booking", r.idempotencyKey());
        m.put("model", r.type());
        m.put("site", r.zone());
        m.put("loaner", r.spot());
        m.put("count", r.count());
        return Json.text(m);
    }

    /** The request to return machines. */
    public static String encodeHosts(List<String> hosts) {
        return Json.text(Map.of("hosts", hosts));
    }

    /** Reads the names of the machines that a launch brought. */
    public static List<String> decodeHosts(Map<String, Object> body) {
        return Fields.listOf(body, "hosts").stream().map(String::valueOf).toList();
    }

    /** Reads a page of the list of machines. */
    @SuppressWarnings("unchecked")
    public static List<ListedHost> decodeListing(Map<String, Object> body) {
        List<ListedHost> hosts = new ArrayList<>();
        for (Object o : Fields.listOf(body, "hosts")) {
            Map<String, Object> m = (Map<String, Object>) o;
            HostState state = switch (String.valueOf(m.get("status"))) {
                case "running" -> HostState.RUNNING;
                case "failed" -> HostState.FAILED;
                default -> HostState.BOOTING;
            };
            hosts.add(new ListedHost(
                    Fields.textOf(m, "uid"),
                    Fields.textOf(m, "address"),
                    Fields.textOf(m, "model"),
                    Fields.textOf(m, "site"),
                    Fields.boolOf(m, "loaner"),
                    state,
                    Math.round(Fields.doubleOf(m, "held_s", 0) * 1e6)));
        }
        return hosts;
    }
}
