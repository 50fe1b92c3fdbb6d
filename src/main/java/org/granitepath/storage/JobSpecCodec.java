package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Encodes descriptions of jobs as JSON objects, within stored records. The names of the fields and their order are
 * fixed.
 *
 * <p>In stored records, {@code rank} is the priority and {@code mem} the memory; {@code estimate}, {@code checkpoint},
 * {@code save} and {@code deadline} are times in microseconds.
 */
public final class JobSpecCodec {
    private static final String ID = "id";
    private static final String CLASS = "class";
    private static final String TEAM = "team";
    private static final String SHAPE = "shape";
    private static final String RANK = "rank";
    private static final String TASKS = "tasks";
    private static final String CPU = "cpu";
    private static final String GPU = "gpu";
    private static final String MEMORY = "mem";
    private static final String IMAGE = "image";
    private static final String IMAGE_GB = "imageGb";
    private static final String TYPES = "types";
    private static final String ZONE = "zone";
    private static final String ONE_ZONE = "oneZone";
    private static final String SPREAD = "spread";
    private static final String SPOT = "spot";
    private static final String ESTIMATE = "estimate";
    private static final String CHECKPOINT = "checkpoint";
    private static final String SAVE = "save";
    private static final String DEADLINE = "deadline";

    private static final int CODE_BATCH = 0;
    private static final int CODE_GANG = 1;
    private static final int CODE_SERVICE = 2;

    private static final int CODE_CRITICAL = 0;
    private static final int CODE_HIGH = 1;
    private static final int CODE_STANDARD = 2;
    private static final int CODE_BEST_EFFORT = 3;

    private JobSpecCodec() {}

    /** Returns the description as a JSON object. */
    public static Map<String, Object> encode(JobSpec spec) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID, spec.id());
        fields.put(CLASS, spec.jobClass());
        fields.put(TEAM, spec.team());
        fields.put(SHAPE, code(spec.shape()));
        fields.put(RANK, code(spec.priority()));
        fields.put(TASKS, spec.tasks());
        fields.put(CPU, spec.cpuMillis());
        fields.put(GPU, spec.gpuMillis());
        fields.put(MEMORY, spec.memoryMillis());
        fields.put(IMAGE, spec.image());
        fields.put(IMAGE_GB, spec.imageGb());
        if (spec.allowedTypeNames() != null) {
            fields.put(TYPES, spec.allowedTypeNames());
        }
        if (spec.zone() != null) {
            fields.put(ZONE, spec.zone());
        }
        fields.put(ONE_ZONE, spec.oneZone());
        fields.put(SPREAD, spec.spread());
        fields.put(SPOT, spec.spotAllowed());
        fields.put(ESTIMATE, spec.estimatedRunMicros());
        fields.put(CHECKPOINT, spec.checkpointIntervalMicros());
        fields.put(SAVE, spec.saveDurationMicros());
        fields.put(DEADLINE, spec.deadlineMicros());
        return fields;
    }

    /**
     * Returns the description that a JSON object contains.
     *
     * @throws MalformedFieldException if the id, the class or the team is missing or not a text
     */
    public static JobSpec decode(Map<String, Object> fields) {
        @Nullable List<String> types = fields.get(TYPES) instanceof List<?> list ? Fields.texts(list) : null;
        return new JobSpec(
                Fields.requiredText(fields, ID),
                Fields.requiredText(fields, CLASS),
                Fields.requiredText(fields, TEAM),
                shape(Fields.intOf(fields, SHAPE, CODE_BATCH)),
                priority(Fields.intOf(fields, RANK, CODE_BEST_EFFORT)),
                Fields.intOf(fields, TASKS, 1),
                Fields.longOf(fields, CPU, 0),
                Fields.longOf(fields, GPU, 0),
                Fields.longOf(fields, MEMORY, 0),
                Fields.textOf(fields, IMAGE, ""),
                Fields.doubleOf(fields, IMAGE_GB, 0),
                types,
                Fields.textOf(fields, ZONE),
                Fields.boolOf(fields, ONE_ZONE),
                Fields.boolOf(fields, SPREAD),
                Fields.boolOf(fields, SPOT),
                Fields.longOf(fields, ESTIMATE, 0),
                Fields.longOf(fields, CHECKPOINT, 0),
                Fields.longOf(fields, SAVE, 0),
                Fields.longOf(fields, DEADLINE, JobSpec.NO_DEADLINE));
    }

    private static int code(JobSpec.Shape shape) {
        return switch (shape) {
            case BATCH -> CODE_BATCH;
            case GANG -> CODE_GANG;
            case SERVICE -> CODE_SERVICE;
        };
    }

    /** Returns the shape for a code; {@link JobSpec.Shape#BATCH} for an unknown code. */
    private static JobSpec.Shape shape(int code) {
        return switch (code) {
            case CODE_GANG -> JobSpec.Shape.GANG;
            case CODE_SERVICE -> JobSpec.Shape.SERVICE;
            default -> JobSpec.Shape.BATCH;
        };
    }

    private static int code(Priority priority) {
        return switch (priority) {
            case CRITICAL -> CODE_CRITICAL;
            case HIGH -> CODE_HIGH;
            case STANDARD -> CODE_STANDARD;
            case BEST_EFFORT -> CODE_BEST_EFFORT;
        };
    }

    /** Returns the priority for a code; the lowest one for an unknown code. */
    private static Priority priority(int code) {
        return switch (code) {
            case CODE_CRITICAL -> Priority.CRITICAL;
            case CODE_HIGH -> Priority.HIGH;
            case CODE_STANDARD -> Priority.STANDARD;
            default -> Priority.BEST_EFFORT;
        };
    }
}
