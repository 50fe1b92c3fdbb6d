package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The controller that leads. The record is attached to its lease, so it goes when the lease ends.
 *
 * @param incarnation tells its process from earlier ones of the same name
 * @param fencingToken the token of its term
 */
public record LeaderRecord(String node, String incarnation, long fencingToken) implements StoredRecord {
    @Override
    public Map<String, Object> toMap() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", node);
        fields.put("incarnation", incarnation);
        fields.put("baton", fencingToken);
        return fields;
    }

    static LeaderRecord fromMap(Map<String, Object> fields) {
        return new LeaderRecord(
                Objects.requireNonNull(Fields.textOf(fields, "node"), "node"),
                Objects.requireNonNull(Fields.textOf(fields, "incarnation"), "incarnation"),
                Fields.longOf(fields, "baton", 0));
    }
}
