package org.granitepath.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.recovery.RecoveryStatus;

/** Encodes the status of a recovery as JSON for operators and their scripts. */
public final class RecoveryStatusCodec {
    /** A whole fleet may be missing; the response lists only the first few machines. */
    private static final int MAX_MISSING_NAMES = 20;

    private RecoveryStatusCodec() {}

    /** Returns a JSON object. Inapplicable fields are omitted; {@code role} and {@code reason} say what is unknown. */
    public static String encode(RecoveryStatus status) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", status.node());
        fields.put("role", RecoveryLabels.of(status.role()));
        if (status.leader() != null) {
            fields.put("leader", status.leader());
        }
        fields.put("reason", status.reason());
        if (status.recordsAgeMicros() >= 0) {
            fields.put("records_age_s", Units.microsToSeconds(status.recordsAgeMicros()));
        }
        fields.put("unreadable_records", status.unreadableRecords());
        if (status.term() != null) {
            putTerm(fields, status.term());
        }
        return Json.encode(fields);
    }

    private static void putTerm(Map<String, Object> fields, RecoveryStatus.Term term) {
        fields.put("phase", RecoveryLabels.of(term.phase()));
        fields.put("fencing_token", term.fencingToken());
        fields.put("revision", term.recordsRevision());
        fields.put("machines", machines(term.machines()));
        Map<String, Object> tasks = new LinkedHashMap<>();
        term.taskCountsByVerdict().forEach((verdict, count) -> tasks.put(RecoveryLabels.of(verdict), count));
        fields.put("tasks", tasks);
        fields.put("attempts_compared", term.comparisonCount());
        RecoveryStatus.Hold hold = term.hold();
        fields.put("other_work_held", hold != null);
        if (hold != null) {
            fields.put("held_for", hold.waitsFor());
            if (hold.remainingMicros() >= 0) {
                fields.put("held_at_most_s", Units.microsToSeconds(hold.remainingMicros()));
            }
        }
    }

    private static Map<String, Object> machines(RecoveryStatus.Machines machines) {
        int missing = machines.awaited().size();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("taken_over", machines.takenOver());
        fields.put("heard_or_gone", machines.takenOver() - missing);
        fields.put("missing", missing);
        fields.put(
                "missing_names",
                machines.awaited().stream().limit(MAX_MISSING_NAMES).toList());
        fields.put("unreadable_inventory_parts", machines.unreadableInventoryParts());
        return fields;
    }
}
