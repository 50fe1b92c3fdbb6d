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
 * Our machines as they are on record, many to a part, and the fencing tokens that single machines are given anew. Says
 * what of it is to be written: the {@link InventoryLayout} decides which machine is in which part, the {@link
 * InventoryReader} reads the parts when the term begins, and the {@link InventoryWriter} writes them.
 */
public final class MachineInventory {
    private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);
    private static final long CLEANUP_DELAY_MICROS = 15_000_000;

    /** Told of what has gone on record. */
    public interface Listener {
        /** The machine's new fencing token is on record. */
        void onTokenRaised(Machine machine);

        /** A write of the inventory is on record; told after the new tokens that it gave. */
        void onInventoryWritten();
    }

    private final Timers timers;
    private final Fleet fleet;
    private final InventoryLimits limits;
    private final InventoryLayout layout;
    private final InventoryReader reader;
    private final InventoryWriter writer;
    private boolean cleanupTimerSet;

    /** An inventory that is empty until the machines on record are taken over. */
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
        this.layout = new InventoryLayout(limits.partBytes(), limits.mostPartsOfSplit(), this::machine);
        this.reader = new InventoryReader(term, replica, layout);
        this.writer = new InventoryWriter(config, term, replica, writeQueue, timers, layout, limits, listener);
    }

    private Machine machine(String id) {
        return Objects.requireNonNull(fleet.machine(id), "a machine of the inventory is in the fleet");
    }

    // ---- taking over -------------------------------------------------------------------------------------------

    /** The machines on record when the term began; all are ours under the term's fencing token. */
    public List<Machine> takeOver() {
        List<Machine> takenOver = reader.read();
        layout.splitLargeParts(takenOver);
        beginSplits();
        return takenOver;
    }

    private void beginSplits() {
        if (!layout.unsplittableParts().isEmpty()) {
            LOG.warn(
                    "{} values of the machine inventory hold more than one transaction can spread: they stay "
                            + "as they are until machines are gone, and those that need a new token stay unused",
                    layout.unsplittableParts().size());
        }
        if (layout.pendingSplitCount() > 0) {
            LOG.info(
                    "{} values of the machine inventory are split: they exceed {} bytes",
                    layout.pendingSplitCount(),
                    limits.partBytes());
            writer.writeNextSplitSoon();
        }
    }

    /** How many parts of the inventory can't be read. */
    public int unreadablePartCount() {
        return reader.unreadablePartCount();
    }

    // ---- machines that come and go -----------------------------------------------------------------------------

    /** Puts a machine on record. */
    void add(Machine machine) {
        writer.writeSoon(layout.add(machine));
    }

    /** Takes a machine that is gone off the record. */
    void remove(Machine machine) {
        writer.writeSoon(layout.remove(machine));
    }

    // ---- new fencing tokens ------------------------------------------------------------------------------------

    /** A direct command has no answer: only a higher fencing token makes sure that it can't be carried out late. */
    public void requestToken(Machine machine, String why) {
        if (!machine.inventory().needsNewToken() && !machine.isGone()) {
            LOG.info("machine {} wants a new fencing token: {}", machine.id(), why);
            machine.inventory().requireNewToken();
            writer.writeSoon(machine.inventory().part());
        }
    }

    /**
     * The machine needs a higher fencing token some time, only so that its exited attempts can be cleared: it gets
     * one together with others, and takes tasks until then.
     */
    void requestTokenForCleanup(Machine machine) {
        machine.inventory().requireTokenForCleanup();
        if (!cleanupTimerSet) {
            cleanupTimerSet = true;
            timers.after(CLEANUP_DELAY_MICROS, this::drawCleanupTokens);
        }
    }

    private void drawCleanupTokens() {
        cleanupTimerSet = false;
        writer.drawCleanupTokens();
        fleet.machines().stream()
                .filter(machine -> machine.inventory().needsTokenForCleanup())
                .forEach(machine -> writer.writeSoon(machine.inventory().part()));
    }
}
