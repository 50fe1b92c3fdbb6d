package org.granitepath.bookkeeping;

import java.util.LinkedHashMap;
import java.util.Map;

/** An accepted job: its description and the time of day when it was taken. Written once. */
public record JobRecord(JobSpec spec, long acceptedMicros) {

    public Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("spec", spec.toMap());
        m.put("at", acceptedMicros);
        return m;
    }

    public static JobRecord fromMap(Map<String, Object> m) {
        return new JobRecord(JobSpec.fromMap(Fields.mapOf(m, "spec")), Fields.longOf(m, "at", 0));
    }
}
