package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes the counter of fencing tokens as a JSON object. The stored field {@code owner} is the leader. */
final class FencingTokenRecordCodec {
    private static final String OWNER = "owner";
    private static final String TERM = "term";
    private static final String LAST = "last";

    private FencingTokenRecordCodec() {}

    static Map<String, Object> encode(FencingTokenRecord counter) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(OWNER, counter.leader());
        fields.put(TERM, counter.fencingToken());
        fields.put(LAST, counter.lastIssuedToken());
        return fields;
    }

    static FencingTokenRecord decode(Map<String, Object> fields) {
        return new FencingTokenRecord(
                Fields.textOf(fields, OWNER), Fields.longOf(fields, TERM, 0), Fields.longOf(fields, LAST, 0));
    }
}
