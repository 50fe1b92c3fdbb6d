package org.granitepath.coordination.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.granitepath.coordination.model.Machine;

/** One part of the machine inventory: whose rows it holds, and how many bytes these take at most. */
final class InventoryPart {
    /** A part without machines, with the space around its rows. */
    static final int EMPTY_BYTES = 64;

    /** In the order of the rows. */
    private final Set<String> machineIds = new LinkedHashSet<>();

    private int usedBytes = EMPTY_BYTES;

    /** A part that counts as full and has no machines that we know of. */
    static InventoryPart unreadable(int partBytes) {
        InventoryPart part = new InventoryPart();
        part.usedBytes = partBytes;
        return part;
    }

    /** The bytes of the machine's row, whatever fencing token it may be given. */
    static int rowBytes(Machine machine) {
        return machine.inventoryRow(machine.fencingToken()).largestRowBytes();
    }

    /** Adds a row for the machine. */
    void add(Machine machine) {
        machineIds.add(machine.id());
        usedBytes += rowBytes(machine);
    }

    /** Removes the machine's row, if it has one here. */
    void remove(Machine machine) {
        if (machineIds.remove(machine.id())) {
            usedBytes -= rowBytes(machine);
        }
    }

    /** Removes all rows. */
    void clear() {
        machineIds.clear();
        usedBytes = EMPTY_BYTES;
    }

    /** The ids of its machines, in the order of their rows. */
    Set<String> machineIds() {
        return machineIds;
    }

    /** The bytes that it takes, at most. */
    int usedBytes() {
        return usedBytes;
    }
}
