package org.granitepath.storage;

import java.util.List;

/**
 * One part of the inventory of machines; a single value holds many machines. The {@link FencingTokenRecord} names the
 * leader that the machines belong to.
 */
public record InventoryRecord(List<MachineRow> machines) implements StoredRecord {
    /** Larger than any token that will ever be issued. */
    private static final long LARGEST_TOKEN = 999_999_999_999L;

    /** Copies the list. */
    public InventoryRecord {
        machines = List.copyOf(machines);
    }

    /**
     * The row of one machine.
     *
     * @param fencingToken the machine's own token, issued when a command to it had no answer. It only matters if it is
     *     higher than the token of the leader's term in the {@link FencingTokenRecord}.
     */
    public record MachineRow(String id, String address, String type, String zone, boolean spot, long fencingToken) {
        /** Returns the largest number of bytes that this row takes, whatever token the machine gets later. */
        public int maxRowBytes() {
            MachineRow longestRow = new MachineRow(id, address, type, zone, spot, LARGEST_TOKEN);
            return RecordSize.ofValue(InventoryRecordCodec.encodeRow(longestRow)) + 1;
        }
    }
}
