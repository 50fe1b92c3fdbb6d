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
 * Encodes requests to the cloud and decodes its responses.
 *
 * <p>Names in the cloud's protocol and their meaning: {@code model}, {@code sku}: machine type; {@code cards}: GPUs;
 * {@code site}: zone; {@code loaner}: spot instance; {@code market_price}: spot price; {@code booking}: idempotency
 * key; {@code uid}: machine id; {@code ready_s}: boot time; {@code held_s}: time since the launch.
 */
public final class CloudCodec {
    private static final String HOSTS = "hosts";
    private static final double MIN_FETCH_GB_PER_SECOND = 0.001;
    private static final double DEFAULT_FETCH_GB_PER_SECOND = 0.1;
    private static final double DEFAULT_BOOT_SECONDS = 60;

    /** Stands for a missing type or zone. Machines of an unknown type are ignored. */
    private static final String UNKNOWN = "";

    private CloudCodec() {}

    /** Decodes the machine types that the cloud offers. */
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

    /** Returns a capacity in thousandths, rounded down so that a machine is not taken for larger than it is. */
    private static long thousandths(Map<String, Object> fields, String name) {
        return Units.toThousandthsRoundedDown(Fields.doubleOf(fields, name, 0));
    }

    /** Returns the body of a launch request. */
    public static String encodeLaunch(LaunchRequest request) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("booking", request.idempotencyKey());
        fields.put("model", request.type());
        fields.put("site", request.zone());
        fields.put("loaner", request.spot());
        fields.put("count", request.count());
        return Json.encode(fields);
    }

    /** Returns the body of the request to terminate machines. */
    public static String encodeTermination(List<String> machineIds) {
        return Json.encode(Map.of(HOSTS, machineIds));
    }

    /** Decodes the ids of the machines that a launch created. */
    public static List<String> decodeLaunchedMachines(Map<String, Object> body) {
        return Fields.textsOf(body, HOSTS);
    }

    /** Decodes a page of the list of machines. */
    public static List<ListedMachine> decodeListing(Map<String, Object> body) {
        List<ListedMachine> machines = new ArrayList<>();
        for (Object element : Fields.listOf(body, HOSTS)) {
            Map<String, Object> fields = Fields.requiredObject(element, HOSTS);
            machines.add(new ListedMachine(
                    Fields.requiredText(fields, "uid"),
                    Fields.textOf(fields, "address"),
                    Fields.textOf(fields, "model", UNKNOWN),
                    Fields.textOf(fields, "site", UNKNOWN),
                    Fields.boolOf(fields, "loaner"),
                    machineState(String.valueOf(fields.get("status"))),
                    Units.secondsToMicros(Fields.doubleOf(fields, "held_s", 0))));
        }
        return machines;
    }

    /** An unknown state counts as booting: the machine exists, but cannot be used yet. */
    private static MachineState machineState(String wireName) {
        return switch (wireName) {
            case "running" -> MachineState.RUNNING;
            case "failed" -> MachineState.FAILED;
            default -> MachineState.BOOTING;
        };
    }

    /** Returns whether more pages of the list of machines follow this one. */
    public static boolean hasMore(Map<String, Object> body) {
        return Fields.boolOf(body, "has_next");
    }

    /** Returns whether the cloud rejected a launch because it has no machine of the type at present. */
    public static boolean isNoCapacity(Map<String, Object> body) {
        return "no capacity".equals(body.get("error"));
    }
}
