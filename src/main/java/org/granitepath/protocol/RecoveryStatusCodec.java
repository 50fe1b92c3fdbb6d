package org.granitepath.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.recovery.RecoveryStatus;

/** The state of a recovery as JSON, for operators and their scripts. */
public final class RecoveryStatusCodec {
    /** A whole fleet may be missing: a few names are enough to begin with. */
    private static final int MOST_NAMES = 20;

    private static final double MICROS_PER_SECOND = 1e6;

    private RecoveryStatusCodec() {}

    /** One JSON object. What does not apply is left out; {@code role} and {@code reason} say what is not known. */
    public static String encode(RecoveryStatus status) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", status.node());
        fields.put("role", RecoveryLabels.of(status.role()));
        if (status.leader() != null) {
            fields.put("leader", status.leader());
        }
        fields.put("reason", status.reason());
        if (status.recordsAgeMicros() >= 0) {
            fields.put("records_age_s", status.recordsAgeMicros() / MICROS_PER_SECOND);
        }
        fields.put("unreadable_records", status.unreadableRecords());
        if (status.phase() != null) {
            putTerm(fields, status);
        }
        return Json.text(fields);
    }

    private static void putTerm(Map<String, Object> fields, RecoveryStatus status) {
        fields.put("phase", RecoveryLabels.of(status.phase()));
        fields.put("fencing_token", status.fencingToken());
        fields.put("revision", status.revision());
        Map<String, Object> machines = new LinkedHashMap<>();
        machines.put("taken_over", status.machinesTakenOver());
        machines.put("heard_or_gone", status.machinesTakenOver() - status.machinesMissing());
        machines.put("missing", status.machinesMissing());
        machines.put(
                "missing_names", status.missing().stream().limit(MOST_NAMES).toList());
        machines.put("unreadable_inventory_parts", status.unreadableInventoryParts());
        fields.put("machines", machines);
        Map<String, Object> tasks = new LinkedHashMap<>();
        status.tasks().forEach((verdict, count) -> tasks.put(RecoveryLabels.of(verdict), count));
        fields.put("tasks", tasks);
        fields.put("attempts_compared", status.comparisons());
        fields.put("other_work_held", status.batchWaitsFor() != null);
        if (status.batchWaitsFor() != null) {
            fields.put("held_for", status.batchWaitsFor());
            if (status.batchHeldMicros() >= 0) {
                fields.put("held_at_most_s", status.batchHeldMicros() / MICROS_PER_SECOND);
            }
        }
    }
}
