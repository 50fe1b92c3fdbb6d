package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine type that the cloud launches. */
public record MachineType(
        String name,
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Whether a task of this job fits an empty machine of this type. */
    public boolean fits(JobSpec spec) {
        return spec.allowsType(name)
                && spec.cpuMillis() <= cpuMillis
                && spec.gpuMillis() <= gpuMillis
                && spec.memoryMillis() <= memoryMillis
                && (spec.zone() == null || zones.contains(spec.zone()));
    }

    /** How many tasks of this shape an empty machine holds. */
    public int slots(JobSpec spec) {
        return Math.min(slots(spec, cpuMillis, gpuMillis, memoryMillis), 1000);
    }

    /** How many tasks of this shape fit into so much capacity. */
    public static int slots(JobSpec spec, long cpu, long gpu, long memory) {
        long n = Integer.MAX_VALUE;
        if (spec.cpuMillis() > 0) {
            n = Math.min(n, cpu / spec.cpuMillis());
        }
        if (spec.gpuMillis() > 0) {
            n = Math.min(n, gpu / spec.gpuMillis());
        }
        if (spec.memoryMillis() > 0) {
            n = Math.min(n, memory / spec.memoryMillis());
        }
        return (int) Math.max(0, n);
    }

    /** The nominal price of an hour. */
    public double priceFor(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** The type as a JSON object. */
    public Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", name);
        m.put("cpu", cpuMillis);
        m.put("gpu", gpuMillis);
        m.put("mem", memoryMillis);
        m.put("fetch", fetchGbPerSecond);
        m.put("price", price);
        m.put("spot", spotPrice);
        m.put("boot", bootMicros);
        m.put("zones", zones);
        return m;
    }

    /** Reads the type. */
    public static MachineType fromMap(Map<String, Object> m) {
        return new MachineType(
                Fields.textOf(m, "name"),
                Fields.longOf(m, "cpu", 0),
                Fields.longOf(m, "gpu", 0),
                Fields.longOf(m, "mem", 0),
                Fields.doubleOf(m, "fetch", 1),
                Fields.doubleOf(m, "price", 0),
                Fields.doubleOf(m, "spot", 0),
                Fields.longOf(m, "boot", 0),
                Fields.listOf(m, "zones").stream().map(String::valueOf).toList());
    }
}
