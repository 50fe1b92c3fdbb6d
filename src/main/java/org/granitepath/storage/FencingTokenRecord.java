package org.granitepath.storage;

import java.util.Map;

/**
 * The shared counter of fencing tokens: all machines of the inventory belong to {@code leader} under the token
 * {@code term}, but for those whose row names a higher one. It outlives the leader's lease, so no machine is ever
 * without exactly one leader.
 *
 * @param last the highest token drawn so far
 */
public record FencingTokenRecord(String leader, long term, long last) implements StoredRecord {
    @Override
    public Map<String, Object> toMap() {
        return Map.of("owner", leader, "term", term, "last", last);
    }

    static FencingTokenRecord fromMap(Map<String, Object> fields) {
        return new FencingTokenRecord(
                Fields.textOf(fields, "owner"), Fields.longOf(fields, "term", 0), Fields.longOf(fields, "last", 0));
    }
}
