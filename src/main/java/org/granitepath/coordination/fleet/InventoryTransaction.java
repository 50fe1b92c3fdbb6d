package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;

/** The contents of one write of the machine inventory: its parts, the added machines, and the new fencing tokens. */
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

    /** Creates a transaction for parts; it gives this new token to the machines that need one. */
    static InventoryTransaction withNewToken(long newToken) {
        return new InventoryTransaction(false, newToken);
    }

    /**
     * Creates a transaction for one split. It allocates no fencing token, because the fencing token counter might not
     * fit into the same transaction as all parts of the split.
     */
    static InventoryTransaction forSplit() {
        return new InventoryTransaction(true, 0);
    }

    /**
     * Adds this part with its current contents to the transaction.
     *
     * @param machines the machines of the part, in the order of their rows
     * @param cleanupTokensDue whether a new token is due now for machines that need one only to clear attempts
     */
    void addPart(int part, List<Machine> machines, boolean cleanupTokensDue) {
        List<InventoryRecord.MachineRow> rows = new ArrayList<>();
        for (Machine machine : machines) {
            if (cleanupTokensDue) {
                machine.inventory().requireCleanupTokenNow();
            }
            rows.add(machine.inventoryRow(tokenToWrite(machine)));
        }
        parts.add(part);
        changes.add(Change.write(Keys.inventoryPartKey(part), new InventoryRecord(rows)));
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

    /** Returns whether this transaction writes a split. */
    boolean isSplit() {
        return isSplit;
    }

    /** Returns the changes to the store, as a mutable list to which the caller may add. */
    List<Change> changes() {
        return changes;
    }

    /** Returns the parts that this transaction writes. */
    List<Integer> parts() {
        return parts;
    }

    /** Returns the machines that this transaction stores for the first time. */
    List<Machine> machinesAdded() {
        return machinesAdded;
    }

    /** Returns the machines that get the new token. */
    List<Machine> machinesWithNewToken() {
        return machinesWithNewToken;
    }

    /** Returns the new token; 0 for a split. */
    long newToken() {
        return newToken;
    }
}
