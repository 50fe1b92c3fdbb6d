package org.granitepath.coordination.fleet;

import java.util.List;
import java.util.Objects;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the machine inventory of this term in the store and allocates new fencing tokens to single machines. The stored
 * inventory is divided into parts that hold many machines each. This class determines what has to be written. The
 * {@link InventoryLayout} assigns machines to parts, the {@link InventoryReader} reads the parts when the term begins,
 * and the {@link InventoryWriter} writes them.
 */
public final class MachineInventory {
    private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);
    private static final long CLEANUP_DELAY_MICROS = 15_000_000;

    /** Receives notifications about committed writes of the inventory. */
    public interface Listener {
        /** Called when the store holds a new fencing token for the machine. */
        void onTokenRaised(Machine machine);

        /** Called after each committed write of the inventory, after {@link #onTokenRaised} for its new tokens. */
        void onInventoryWritten();
    }

    private final Timers timers;
    private final Fleet fleet;
    private final InventoryLimits limits;
    private final InventoryLayout layout;
    private final InventoryReader reader;
    private final InventoryWriter writer;
    private boolean cleanupTimerSet;

    /** Creates an inventory that is empty until {@link #takeOver()} reads the stored machines. */
    public MachineInventory(
            Config config,
            Leadership.Term term,
            RecordReplica replica,
            WriteQueue writeQueue,
            Timers timers,
            Fleet fleet,
            Listener listener) {
        this.timers = timers;
        this.fleet = fleet;
        this.limits = InventoryLimits.within(config.limits().store());
        this.layout = new InventoryLayout(limits.partBytes(), limits.maxPartsPerSplit(), this::machineById);
        this.reader = new InventoryReader(term, replica, layout);
        this.writer = new InventoryWriter(config, term, replica, writeQueue, timers, layout, limits, listener);
    }

    private Machine machineById(String id) {
        return Objects.requireNonNull(fleet.machine(id), "a machine of the inventory must be in the fleet");
    }

    /**
     * Reads the machines that are stored when the term begins, and returns them with the fencing token of this term.
     * Parts that exceed the size limit are scheduled to be split.
     */
    public List<Machine> takeOver() {
        List<Machine> takenOver = reader.read();
        layout.splitOversizedParts(takenOver);
        scheduleSplits();
        return takenOver;
    }

    private void scheduleSplits() {
        if (!layout.unsplittableParts().isEmpty()) {
            LOG.warn(
                    "{} parts of the machine inventory are too large to be split in one transaction: they stay "
                            + "unchanged until machines are removed, and machines there that need a new fencing "
                            + "token get no tasks",
                    layout.unsplittableParts().size());
        }
        if (layout.pendingSplitCount() > 0) {
            LOG.info(
                    "{} parts of the machine inventory exceed {} bytes and will be split",
                    layout.pendingSplitCount(),
                    limits.partBytes());
            writer.writeNextSplitSoon();
        }
    }

    /** Returns the number of parts that could not be read at the beginning of the term. */
    public int unreadablePartCount() {
        return reader.unreadablePartCount();
    }

    /** Adds the machine to the inventory and schedules the write. */
    void add(Machine machine) {
        writer.writeSoon(layout.add(machine));
    }

    /** Removes the machine, which is gone, from the inventory and schedules the write. */
    void remove(Machine machine) {
        writer.writeSoon(layout.remove(machine));
    }

    /**
     * Requests a higher fencing token for the machine, which takes no tasks until the store holds the token. For
     * example, a higher token is the only protection against the delayed execution of a direct command that got no
     * response. Does nothing when a new token has already been requested or the machine is gone.
     *
     * @param why the reason, for the log
     */
    public void requestToken(Machine machine, String why) {
        if (!machine.inventory().needsNewToken() && !machine.isGone()) {
            LOG.info("machine {} needs a new fencing token: {}", machine.id(), why);
            machine.inventory().requireNewToken();
            writer.writeSoon(machine.inventory().part());
        }
    }

    /**
     * Requests a higher fencing token for the machine that is needed only to clear exited attempts. The token is
     * allocated after {@link #CLEANUP_DELAY_MICROS}, together with those of other machines; the machine takes tasks
     * until then.
     */
    void requestTokenForCleanup(Machine machine) {
        machine.inventory().requireTokenForCleanup();
        if (!cleanupTimerSet) {
            cleanupTimerSet = true;
            timers.after(CLEANUP_DELAY_MICROS, this::allocateCleanupTokens);
        }
    }

    private void allocateCleanupTokens() {
        cleanupTimerSet = false;
        writer.allocateCleanupTokens();
        fleet.machines().stream()
                .filter(machine -> machine.inventory().needsTokenForCleanup())
                .forEach(machine -> writer.writeSoon(machine.inventory().part()));
    }
}
