package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes the leader's record as a JSON object. The stored field {@code baton} is the fencing token. */
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

    /** @throws MalformedFieldException if the controller or its incarnation is missing or not a text */
    static LeaderRecord decode(Map<String, Object> fields) {
        return new LeaderRecord(
                Fields.requiredText(fields, NODE),
                Fields.requiredText(fields, INCARNATION),
                Fields.longOf(fields, BATON, 0));
    }
}
