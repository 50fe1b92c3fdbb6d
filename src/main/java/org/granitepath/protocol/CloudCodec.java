package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.CloudPort.LaunchRequest;
import org.granitepath.coordination.ports.CloudPort.ListedMachine;
import org.granitepath.coordination.ports.CloudPort.MachineState;
import org.granitepath.storage.Fields;
import org.granitepath.storage.MachineType;

/**
 * Calls to the cloud.
 *
 * <p>Words of the pages: {@code model}, {@code sku} machine type; {@code cards} GPUs; {@code site} zone; {@code loaner}
 * spot instance; {@code market_price} spot price; {@code booking} idempotency key; {@code uid} machine id;
 * {@code ready_s} boot time; {@code held_s} time since the launch.
 */
public final class CloudCodec {
    private static final String HOSTS = "hosts";
    private static final double MIN_FETCH_GB_PER_SECOND = 0.001;
    private static final double DEFAULT_FETCH_GB_PER_SECOND = 0.1;
    private static final double DEFAULT_BOOT_SECONDS = 60;

    /** Where a row names no type or zone: machines of no known type are passed over. */
    private static final String UNKNOWN = "";

    private CloudCodec() {}

    /** Reads the machine types that the cloud launches. */
    public static List<MachineType> decodeMachineTypes(Map<String, Object> body) {
        List<MachineType> types = new ArrayList<>();
        for (Object element : Fields.listOf(body, "models")) {
            Map<String, Object> fields = Fields.requiredObject(element, "models");
            types.add(new MachineType(
                    Fields.textOf(fields, "sku", UNKNOWN),
                    thousandths(fields, "cpus"),
                    thousandths(fields, "cards"),
                    thousandths(fields, "mem_gb"),
                    Math.max(
                            MIN_FETCH_GB_PER_SECOND,
                            Fields.doubleOf(fields, "fetch_gb_per_s", DEFAULT_FETCH_GB_PER_SECOND)),
                    Fields.doubleOf(fields, "rate", 0),
                    Fields.doubleOf(fields, "market_price", 0),
                    Units.secondsToMicros(Fields.doubleOf(fields, "ready_s", DEFAULT_BOOT_SECONDS)),
                    Fields.textsOf(fields, "sites")));
        }
        return types;
    }

    /** In thousandths: a machine is not taken for larger than it is. */
    private static long thousandths(Map<String, Object> fields, String name) {
        return Units.toThousandthsRoundedDown(Fields.doubleOf(fields, name, 0));
    }

    /** The request for a launch. */
    public static String encodeLaunch(LaunchRequest request) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("booking", request.idempotencyKey());
        fields.put("model", request.type());
        fields.put("site", request.zone());
        fields.put("loaner", request.spot());
        fields.put("count", request.count());
        return Json.encode(fields);
    }

    /** The request to return machines. */
    public static String encodeTermination(List<String> hosts) {
        return Json.encode(Map.of(HOSTS, hosts));
    }

    /** Reads the names of the machines that a launch brought. */
    public static List<String> decodeLaunchedMachines(Map<String, Object> body) {
        return Fields.textsOf(body, HOSTS);
    }

    /** Reads a page of the list of machines. */
    public static List<ListedMachine> decodeListing(Map<String, Object> body) {
        List<ListedMachine> hosts = new ArrayList<>();
        for (Object element : Fields.listOf(body, HOSTS)) {
            Map<String, Object> fields = Fields.requiredObject(element, HOSTS);
            hosts.add(new ListedMachine(
                    Fields.requiredText(fields, "uid"),
                    Fields.textOf(fields, "address"),
                    Fields.textOf(fields, "model", UNKNOWN),
                    Fields.textOf(fields, "site", UNKNOWN),
                    Fields.boolOf(fields, "loaner"),
                    hostState(String.valueOf(fields.get("status"))),
                    Units.secondsToMicros(Fields.doubleOf(fields, "held_s", 0))));
        }
        return hosts;
    }

    /** A state that we don't know counts as booting: the machine is there, but not yet of use. */
    private static MachineState hostState(String word) {
        return switch (word) {
            case "running" -> MachineState.RUNNING;
            case "failed" -> MachineState.FAILED;
            default -> MachineState.BOOTING;
        };
    }

    /** Whether more pages follow this one of the list of machines. */
    public static boolean hasMore(Map<String, Object> body) {
        return Fields.boolOf(body, "has_next");
    }

    /** Whether a launch was refused as the cloud has no machine of the type at present. */
    public static boolean isNoCapacity(Map<String, Object> body) {
        return "no capacity".equals(body.get("error"));
    }
}
