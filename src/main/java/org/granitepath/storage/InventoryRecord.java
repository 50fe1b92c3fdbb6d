package org.granitepath.storage;

import java.util.List;

/**
 * Which machines there are; one value holds many. Whose they are says the leader's record; {@code fencingToken}
 * matters only where it is higher than the one there: this machine's own, drawn when a command to it had no answer.
 */
public record InventoryRecord(List<MachineRow> machines) implements StoredRecord {
    /** More tokens than will ever be drawn. */
    private static final long LARGEST_TOKEN = 999_999_999_999L;

    /** Keeps a copy of the list. */
    public InventoryRecord {
        machines = List.copyOf(machines);
    }

    /** One machine; {@code fencingToken} is its own when higher than that of the leader's term. */
    public record MachineRow(String id, String address, String type, String zone, boolean spot, long fencingToken) {
        /** The bytes that this machine's row takes, whatever its token may be later. */
        public int maxRowBytes() {
            MachineRow latest = new MachineRow(id, address, type, zone, spot, LARGEST_TOKEN);
            return RecordSize.ofValue(InventoryRecordCodec.encodeRow(latest)) + 1;
        }
    }
}
