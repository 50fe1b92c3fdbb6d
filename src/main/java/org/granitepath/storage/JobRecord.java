package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An accepted job: its description, the time of day when it was taken, and its first block of tasks, which this very
 * write claims for the leader of the machines, if there is one, by the fencing token of its term. Written once.
 */
public record JobRecord(JobSpec spec, long acceptedMicros, int claimed, long term) implements StoredRecord {

    @Override
    public Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("spec", spec.toMap());
        m.put("at", acceptedMicros);
        m.put("claimed", claimed);
        m.put("term", term);
        return m;
    }

    /** Reads the record. */
    public static JobRecord fromMap(Map<String, Object> m) {
        return new JobRecord(
                JobSpec.fromMap(Fields.mapOf(m, "spec")),
                Fields.longOf(m, "at", 0),
                Fields.requiredInt(m, "claimed"),
                Fields.longOf(m, "term", 0));
    }
}
