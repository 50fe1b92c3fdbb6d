package org.granitepath.coordination.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Our machines as they are on record, many to a value, and the fencing tokens that single machines are given anew.
 * Gathers what is to be written, and writes it within a share of the budget.
 */
public final class MachineInventory {
    private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);
    /** All writes of the inventory wait in the queue as one. */
    private static final String QUEUE_NAME = "machine inventory";

    /** Larger values would only be read over and over by every controller. */
    private static final int MOST_PART_BYTES = 8 * 1024;

    private static final int MOST_TRANSACTION_BYTES = 48 * 1024;
    private static final long LEAST_GATHER_MICROS = 30_000;
    /**
     * Share of the budget that the machine inventory may take: its writes go first, and claims must not starve behind
     * them.
     */
    private static final double WRITE_SHARE = 0.3;

    private static final long CLEANUP_DELAY_MICROS = 15_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final Timers timers;
    private final Fleet fleet;
    private final Consumer<Machine> tokenListener;
    private final Runnable recordedListener;
    private final int partBytes;
    private final int partsAtOnce;
    private final InventoryLayout layout;
    /** Parts that are not on record as they are now, apart from those in the transaction under way. */
    private final Set<Integer> dirtyParts = new HashSet<>();
    /** Null while none is under way. */
    private @Nullable InventoryTransaction underWay;
    /** Before this the next write would take more than the inventory's share of the budget. */
    private long nextWriteMicros;

    private boolean cleanupTimerSet;
    private boolean cleanupTokensDue;
    private int unreadableParts;

    /**
     * An inventory that is empty until the machines on record are taken over.
     *
     * @param tokenListener told of each machine whose new fencing token is on record
     * @param recordedListener told of each write
     */
    public MachineInventory(
            Config config,
            Leadership.Term term,
            RecordReplica replica,
            WriteQueue writeQueue,
            Timers timers,
            Fleet fleet,
            Consumer<Machine> tokenListener,
            Runnable recordedListener) {
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.timers = timers;
        this.fleet = fleet;
        this.tokenListener = tokenListener;
        this.recordedListener = recordedListener;
        int transactionChanges = config.limits().store().transactionChanges();
        this.partBytes = Math.min(config.limits().store().valueBytes(), MOST_PART_BYTES);
        // One change is left for the counter of fencing tokens.
        this.partsAtOnce = Math.max(1, Math.min(transactionChanges - 1, MOST_TRANSACTION_BYTES / partBytes));
        this.layout = new InventoryLayout(partBytes, transactionChanges, this::ownMachine);
    }

    // ---- taking over -------------------------------------------------------------------------------------------

    /** The machines on record when the term began; all are ours under the term's fencing token. */
    public List<Machine> takeOver() {
        List<Machine> takenOver = new ArrayList<>();
        for (int part = 0; part < replica.inventoryParts(); part++) {
            InventoryRecord recorded = replica.inventory(part);
            if (recorded == null) {
                leaveUnreadable(part);
                continue;
            }
            List<Machine> machines = machinesOf(recorded, part);
            layout.partFound(machines);
            takenOver.addAll(machines);
        }
        layout.splitLargeParts(takenOver);
        beginSplits();
        return takenOver;
    }

    private List<Machine> machinesOf(InventoryRecord recorded, int part) {
        List<Machine> machines = new ArrayList<>();
        for (InventoryRecord.Host host : recorded.hosts()) {
            Machine machine = new Machine(host.id(), host.address(), host.type(), host.zone(), host.spot());
            machine.inventory().foundOnRecord(part, term.fencingToken());
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

    /** How many values of the inventory can't be read. */
    public int unreadableParts() {
        return unreadableParts;
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
                    partBytes);
        }
        writeNextSplitSoon();
    }

    // ---- what is to be written ---------------------------------------------------------------------------------

    /** Puts a machine on record. */
    void add(Machine machine) {
        writeSoon(layout.add(machine));
    }

    /** Takes a machine that is gone off the record. */
    void remove(Machine machine) {
        writeSoon(layout.remove(machine));
    }

    /** A direct command has no answer: only a higher fencing token makes sure that it can't be carried out late. */
    public void requestToken(Machine machine, String why) {
        if (!machine.inventory().needsNewToken() && !machine.isGone()) {
            LOG.info("machine {} wants a new fencing token: {}", machine.id(), why);
            machine.inventory().requireNewToken();
            writeSoon(machine.inventory().part());
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
        cleanupTokensDue = true;
        fleet.machines().stream()
                .filter(machine -> machine.inventory().needsTokenForCleanup())
                .forEach(machine -> writeSoon(machine.inventory().part()));
    }

    private void writeSoon(int part) {
        dirtyParts.add(part);
        long delayMicros = Math.max(LEAST_GATHER_MICROS, nextWriteMicros - timers.nowMicros());
        writeQueue.enqueue(
                QUEUE_NAME,
                WriteQueue.Urgency.SAFETY,
                delayMicros,
                this::beginTransaction,
                storeRevision -> transactionRecorded());
    }

    // ---- writing -----------------------------------------------------------------------------------------------

    private List<Change> beginTransaction() {
        if (underWay != null) {
            dirtyParts.addAll(underWay.parts()); // the transaction before this one failed
        }
        List<Integer> split = layout.nextSplit();
        InventoryTransaction transaction =
                split != null && layout.mayWriteNextSplit() ? splitTransaction(split) : dirtyPartsTransaction();
        underWay = transaction;
        List<Change> changes = transaction.changes();
        if (!transaction.machinesWithNewToken().isEmpty()) {
            changes.add(Change.write(
                    Keys.FENCING_TOKEN,
                    new FencingTokenRecord(config.node(), term.fencingToken(), transaction.newToken())));
        }
        nextWriteMicros =
                timers.nowMicros() + (long) (changes.size() * 1e6 / (writeQueue.writesPerSecond() * WRITE_SHARE));
        return changes;
    }

    private InventoryTransaction splitTransaction(List<Integer> parts) {
        InventoryTransaction transaction = InventoryTransaction.ofSplit(this::ownMachine);
        for (int part : parts) {
            transaction.write(part, layout.machineIds(part), cleanupTokensDue);
        }
        dirtyParts.removeAll(transaction.parts());
        for (int part : transaction.parts()) {
            if (needsNewToken(part)) {
                dirtyParts.add(part);
            }
        }
        return transaction;
    }

    private boolean needsNewToken(int part) {
        return layout.machineIds(part).stream()
                .anyMatch(id -> ownMachine(id).inventory().needsNewToken());
    }

    private Machine ownMachine(String id) {
        return Objects.requireNonNull(fleet.machine(id), "a machine of the inventory is in the fleet");
    }

    private InventoryTransaction dirtyPartsTransaction() {
        InventoryTransaction transaction = InventoryTransaction.drawing(this::ownMachine, nextToken());
        for (int part = 0; part < layout.partCount() && transaction.parts().size() < partsAtOnce; part++) {
            boolean toBeSplit = layout.isInPendingSplit(part);
            if (toBeSplit && !layout.isOnRecord(part)) {
                break; // what comes after it must not be on record before it
            }
            if (dirtyParts.contains(part) && !toBeSplit && !layout.isUnsplittable(part)) {
                transaction.write(part, layout.machineIds(part), cleanupTokensDue);
            }
        }
        // A change that comes while the transaction is under way makes its part dirty once more.
        dirtyParts.removeAll(transaction.parts());
        return transaction;
    }

    private long nextToken() {
        FencingTokenRecord counter = replica.fencingToken();
        return (counter == null ? term.fencingToken() : counter.last()) + 1;
    }

    private void transactionRecorded() {
        InventoryTransaction recorded = Objects.requireNonNull(underWay, "a write was begun before it is recorded");
        underWay = null;
        if (recorded.isSplit()) {
            layout.nextSplitRecorded();
        }
        recorded.parts().forEach(layout::partRecorded);
        dirtyParts.removeAll(layout.unsplittableParts());
        cleanupTokensDue &= !dirtyParts.isEmpty();
        for (Machine machine : recorded.machinesAdded()) {
            machine.inventory().onRecord();
        }
        for (Machine machine : recorded.machinesWithNewToken()) {
            machine.inventory().tokenRaised(recorded.newToken());
            tokenListener.accept(machine);
        }
        writeRest();
        recordedListener.run();
    }

    private void writeRest() {
        if (layout.pendingSplitCount() > 0) {
            writeNextSplitSoon();
        } else if (!dirtyParts.isEmpty()) {
            writeSoon(dirtyParts.iterator().next());
        }
    }

    private void writeNextSplitSoon() {
        List<Integer> split = layout.nextSplit();
        if (split != null) {
            writeSoon(split.get(0));
        }
    }
}
