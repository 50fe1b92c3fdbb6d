package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which machines there are; one value holds many. Whose they are says the leader's record; {@code fencingToken}
 * matters only where it is higher than the one there: this machine's own, drawn when a command to it had no answer.
 */
public record InventoryRecord(List<Host> hosts) implements StoredRecord {
    /** More tokens than will ever be drawn. */
    private static final long LARGEST_TOKEN = 999_999_999_999L;

    /** Keeps a copy of the list. */
    public InventoryRecord {
        hosts = List.copyOf(hosts);
    }

    /** One machine; {@code fencingToken} is its own when higher than that of the leader's term. */
    public record Host(String id, String address, String type, String zone, boolean spot, long fencingToken) {
        private List<Object> toRow() {
            return List.of(id, address, type, zone, spot ? 1 : 0, fencingToken);
        }

        /** The bytes that this machine's row takes, whatever its token may be later. */
        public int largestRowBytes() {
            Host latest = new Host(id, address, type, zone, spot, LARGEST_TOKEN);
            return RecordSize.ofValue(latest.toRow()) + 1;
        }
    }

    @Override
    public Map<String, Object> toMap() {
        List<Object> rows = new ArrayList<>();
        for (Host h : hosts) {
            rows.add(h.toRow());
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hosts", rows);
        return m;
    }

    /** Reads the record. */
    public static InventoryRecord fromMap(Map<String, Object> m) {
        List<Host> hosts = new ArrayList<>();
        for (Object row : Fields.requiredList(m, "hosts")) {
            List<?> r = (List<?>) row;
            hosts.add(new Host(
                    (String) r.get(0),
                    (String) r.get(1),
                    (String) r.get(2),
                    (String) r.get(3),
                    ((Number) r.get(4)).intValue() == 1,
                    ((Number) r.get(5)).longValue()));
        }
        return new InventoryRecord(hosts);
    }
}
