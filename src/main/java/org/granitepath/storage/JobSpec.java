package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What a user asked for. Amounts are whole thousandths (of a CPU, a GPU, a gigabyte), rounded up, so that sums are
 * exact; times are microseconds.
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        long estimateMicros,
        long checkpointMicros,
        long saveMicros,
        long deadlineMicros) {

    /** {@code GANG}: its tasks work together; they start whole, and none goes on without the others. */
    public enum Shape {
        BATCH(0),
        GANG(1),
        SERVICE(2);

        private final int code;

        Shape(int code) {
            this.code = code;
        }

        /** The number that stands for it in records. */
        public int code() {
            return code;
        }

        /** The shape with this number; independent tasks for a number that is not known. */
        public static Shape ofCode(int code) {
            for (Shape shape : values()) {
                if (shape.code == code) {
                    return shape;
                }
            }
            return BATCH;
        }
    }

    public static final long NO_DEADLINE = -1;

    /** Whether its tasks run until it is cancelled. */
    public boolean service() {
        return shape == Shape.SERVICE;
    }

    /** Whether its tasks start together or not at all. */
    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** Whether it is to be complete by a certain time. */
    public boolean hasDeadline() {
        return deadlineMicros != NO_DEADLINE;
    }

    /** Whether machines of this type may be used. */
    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    /** Whether machines of this zone may be used. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** At most this many tasks may stand in one zone. */
    public int zoneCap() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** The description as a JSON object. */
    public Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", id);
        m.put("class", jobClass);
        m.put("team", team);
        m.put("shape", shape.code());
        m.put("rank", priority.code());
        m.put("tasks", tasks);
        m.put("cpu", cpuMillis);
        m.put("gpu", gpuMillis);
        m.put("mem", memoryMillis);
        m.put("image", image);
        m.put("imageGb", imageGb);
        if (types != null) {
            m.put("types", types);
        }
        if (zone != null) {
            m.put("zone", zone);
        }
        m.put("oneZone", oneZone);
        m.put("spread", spread);
        m.put("spot", spot);
        m.put("estimate", estimateMicros);
        m.put("checkpoint", checkpointMicros);
        m.put("save", saveMicros);
        m.put("deadline", deadlineMicros);
        return m;
    }

    /** Reads the description. */
    public static JobSpec fromMap(Map<String, Object> m) {
        List<String> types = m.get("types") instanceof List<?> l
                ? l.stream().map(String::valueOf).toList()
                : null;
        return new JobSpec(
                Objects.requireNonNull(Fields.textOf(m, "id"), "id"),
                Objects.requireNonNull(Fields.textOf(m, "class"), "class"),
                Objects.requireNonNull(Fields.textOf(m, "team"), "team"),
                Shape.ofCode(Fields.intOf(m, "shape", 0)),
                Priority.ofCode(Fields.intOf(m, "rank", 3)),
                Fields.intOf(m, "tasks", 1),
                Fields.longOf(m, "cpu", 0),
                Fields.longOf(m, "gpu", 0),
                Fields.longOf(m, "mem", 0),
                Fields.textOf(m, "image"),
                Fields.doubleOf(m, "imageGb", 0),
                types,
                Fields.textOf(m, "zone"),
                Fields.boolOf(m, "oneZone"),
                Fields.boolOf(m, "spread"),
                Fields.boolOf(m, "spot"),
                Fields.longOf(m, "estimate", 0),
                Fields.longOf(m, "checkpoint", 0),
                Fields.longOf(m, "save", 0),
                Fields.longOf(m, "deadline", NO_DEADLINE));
    }
}
