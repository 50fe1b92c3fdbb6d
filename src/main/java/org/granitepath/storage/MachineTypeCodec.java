package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes machine types as JSON objects, within stored records. The names of the fields and their order are fixed. */
public final class MachineTypeCodec {
    private static final String NAME = "name";
    private static final String CPU = "cpu";
    private static final String GPU = "gpu";
    private static final String MEMORY = "mem";
    private static final String FETCH = "fetch";
    private static final String PRICE = "price";
    private static final String SPOT = "spot";
    private static final String BOOT = "boot";
    private static final String ZONES = "zones";

    private MachineTypeCodec() {}

    /** Returns the machine type as a JSON object. */
    public static Map<String, Object> encode(MachineType type) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(NAME, type.name());
        fields.put(CPU, type.cpuMillis());
        fields.put(GPU, type.gpuMillis());
        fields.put(MEMORY, type.memoryMillis());
        fields.put(FETCH, type.fetchGbPerSecond());
        fields.put(PRICE, type.onDemandPrice());
        fields.put(SPOT, type.spotPrice());
        fields.put(BOOT, type.bootMicros());
        fields.put(ZONES, type.zones());
        return fields;
    }

    /** Returns the machine type that a JSON object contains. Missing fields get default values. */
    public static MachineType decode(Map<String, Object> fields) {
        return new MachineType(
                Fields.textOf(fields, NAME, ""),
                Fields.longOf(fields, CPU, 0),
                Fields.longOf(fields, GPU, 0),
                Fields.longOf(fields, MEMORY, 0),
                Fields.doubleOf(fields, FETCH, 1),
                Fields.doubleOf(fields, PRICE, 0),
                Fields.doubleOf(fields, SPOT, 0),
                Fields.longOf(fields, BOOT, 0),
                Fields.textsOf(fields, ZONES));
    }
}
