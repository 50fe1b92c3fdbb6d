package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** The leader record as a JSON object. {@code baton} is the fencing token. */
final class LeaderRecordCodec {
    private static final String NODE = "node";
    private static final String INCARNATION = "incarnation";
    private static final String BATON = "baton";

    private LeaderRecordCodec() {}

    static Map<String, Object> encode(LeaderRecord leader) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(NODE, leader.node());
        fields.put(INCARNATION, leader.incarnation());
        fields.put(BATON, leader.fencingToken());
        return fields;
    }

    /** @throws MalformedFieldException when the controller or its incarnation is missing or no text */
    static LeaderRecord decode(Map<String, Object> fields) {
        return new LeaderRecord(
                Fields.requiredText(fields, NODE),
                Fields.requiredText(fields, INCARNATION),
                Fields.longOf(fields, BATON, 0));
    }
}
