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

/** Reads the machine inventory that is on record when a term begins, and tells the layout which parts there are. */
final class InventoryReader {
    private static final Logger LOG = LoggerFactory.getLogger(InventoryReader.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final InventoryLayout layout;
    private int unreadableParts;

    /** Has read nothing yet. */
    InventoryReader(Leadership.Term term, RecordReplica replica, InventoryLayout layout) {
        this.term = term;
        this.replica = replica;
        this.layout = layout;
    }

    /** The machines of all parts that can be read; each belongs to the leader with the term's fencing token. */
    List<Machine> read() {
        List<Machine> machines = new ArrayList<>();
        for (int part = 0; part < replica.inventoryParts(); part++) {
            InventoryRecord recorded = replica.inventory(part);
            if (recorded == null) {
                leaveUnreadable(part);
            } else {
                List<Machine> machinesOfPart = machinesOf(recorded, part);
                layout.partFound(machinesOfPart);
                machines.addAll(machinesOfPart);
            }
        }
        return machines;
    }

    private List<Machine> machinesOf(InventoryRecord recorded, int part) {
        List<Machine> machines = new ArrayList<>();
        for (InventoryRecord.Host host : recorded.hosts()) {
            Machine machine = new Machine(host.id(), host.address(), host.type(), host.zone(), host.spot());
            machine.inventory().restoreFromRecord(part, term.fencingToken());
            machines.add(machine);
        }
        return machines;
    }

    private void leaveUnreadable(int part) {
        LOG.error(
                "record {} can't be read: its machines are not known, and no task is taken for lost in this term",
                Keys.inventory(part));
        layout.unreadablePartFound();
        unreadableParts++;
    }

    /** How many parts of the inventory can't be read. */
    int unreadablePartCount() {
        return unreadableParts;
    }
}
