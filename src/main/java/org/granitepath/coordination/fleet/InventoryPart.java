package org.granitepath.coordination.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.granitepath.coordination.model.Machine;

/** One part of the machine inventory: the machines whose rows it holds, and the maximum size of these rows. */
final class InventoryPart {
    /** The size of a part without rows, in bytes: the encoding around the rows. */
    static final int EMPTY_BYTES = 64;

    /** The ids of the machines, in the order of their rows. */
    private final Set<String> machineIds = new LinkedHashSet<>();

    private int usedBytes = EMPTY_BYTES;

    /** Returns a part that counts as full and has no known machines. */
    static InventoryPart unreadable(int partBytes) {
        InventoryPart part = new InventoryPart();
        part.usedBytes = partBytes;
        return part;
    }

    /** Returns the maximum size of the machine's row in bytes, whatever fencing token the machine may get. */
    static int rowBytes(Machine machine) {
        return machine.inventoryRow(machine.fencingToken()).maxRowBytes();
    }

    /** Adds a row for the machine. */
    void add(Machine machine) {
        machineIds.add(machine.id());
        usedBytes += rowBytes(machine);
    }

    /** Removes the machine's row, if this part has one. */
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

    /** Returns the ids of the machines, in the order of their rows. */
    Set<String> machineIds() {
        return machineIds;
    }

    /** Returns the maximum size of the part, in bytes. */
    int usedBytes() {
        return usedBytes;
    }
}
