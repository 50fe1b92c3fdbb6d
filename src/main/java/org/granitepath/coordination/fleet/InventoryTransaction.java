package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;

/** What the present write of the machine inventory holds: which parts, which new machines, which new tokens. */
final class InventoryTransaction {
    private final List<Change> changes = new ArrayList<>();
    private final List<Integer> parts = new ArrayList<>();
    private final List<Machine> machinesAdded = new ArrayList<>();
    private final List<Machine> machinesWithNewToken = new ArrayList<>();
    private final boolean isSplit;
    private final long newToken;

    private InventoryTransaction(boolean isSplit, long newToken) {
        this.isSplit = isSplit;
        this.newToken = newToken;
    }

    /** Writes parts of which machines may be given this new token. */
    static InventoryTransaction drawing(long newToken) {
        return new InventoryTransaction(false, newToken);
    }

    /**
     * Writes one split. No token is drawn: the counter of fencing tokens might not fit into the same transaction as all
     * parts of the split.
     */
    static InventoryTransaction ofSplit() {
        return new InventoryTransaction(true, 0);
    }

    /**
     * Writes this part too, as it is now.
     *
     * @param machines the machines of the part, in the order of their rows
     * @param cleanupTokensDue whether machines that need a token only to clear attempts get it now
     */
    void write(int part, List<Machine> machines, boolean cleanupTokensDue) {
        List<InventoryRecord.Host> rows = new ArrayList<>();
        for (Machine machine : machines) {
            if (cleanupTokensDue) {
                machine.inventory().requireCleanupTokenNow();
            }
            rows.add(machine.inventoryRow(tokenToWrite(machine)));
        }
        parts.add(part);
        changes.add(Change.write(Keys.inventory(part), new InventoryRecord(rows)));
    }

    private long tokenToWrite(Machine machine) {
        if (!machine.inventory().isRecorded()) {
            machinesAdded.add(machine);
        }
        if (isSplit || !machine.inventory().needsNewToken()) {
            return machine.fencingToken();
        }
        machinesWithNewToken.add(machine);
        return newToken;
    }

    /** Whether it writes one split. */
    boolean isSplit() {
        return isSplit;
    }

    /** What goes to the store; whoever makes the transaction may add to it. */
    List<Change> changes() {
        return changes;
    }

    /** The parts that it writes. */
    List<Integer> parts() {
        return parts;
    }

    /** The machines that it puts on record for the first time. */
    List<Machine> machinesAdded() {
        return machinesAdded;
    }

    /** The machines that it gives the new token. */
    List<Machine> machinesWithNewToken() {
        return machinesWithNewToken;
    }

    /** The token that it gives to machines. */
    long newToken() {
        return newToken;
    }
}
