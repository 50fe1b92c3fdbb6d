package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the stored machine inventory when a term begins, and adds its parts to the layout. */
final class InventoryReader {
    private static final Logger LOG = LoggerFactory.getLogger(InventoryReader.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final InventoryLayout layout;
    private int unreadableParts;

    /** Creates a reader; nothing is read before {@link #read()}. */
    InventoryReader(Leadership.Term term, RecordReplica replica, InventoryLayout layout) {
        this.term = term;
        this.replica = replica;
        this.layout = layout;
    }

    /**
     * Reads all parts and returns the machines of those that are readable, each with the fencing token of this term.
     */
    List<Machine> read() {
        List<Machine> machines = new ArrayList<>();
        for (int part = 0; part < replica.inventoryPartCount(); part++) {
            InventoryRecord storedPart = replica.inventoryPart(part);
            if (storedPart == null) {
                skipUnreadablePart(part);
            } else {
                List<Machine> machinesInPart = toMachines(storedPart, part);
                layout.addStoredPart(machinesInPart);
                machines.addAll(machinesInPart);
            }
        }
        return machines;
    }

    private List<Machine> toMachines(InventoryRecord storedPart, int part) {
        List<Machine> machines = new ArrayList<>();
        for (InventoryRecord.MachineRow host : storedPart.machines()) {
            Machine machine = new Machine(host.id(), host.address(), host.type(), host.zone(), host.spot());
            machine.inventory().restoreFromRecord(part, term.fencingToken());
            machines.add(machine);
        }
        return machines;
    }

    private void skipUnreadablePart(int part) {
        LOG.error(
                "record {} can't be read: its machines are unknown, and no task is declared lost during this term",
                Keys.inventoryPartKey(part));
        layout.addUnreadablePart();
        unreadableParts++;
    }

    /** Returns the number of parts that could not be read. */
    int unreadablePartCount() {
        return unreadableParts;
    }
}
