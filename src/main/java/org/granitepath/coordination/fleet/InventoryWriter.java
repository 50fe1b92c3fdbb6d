package org.granitepath.coordination.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.jspecify.annotations.Nullable;

/**
 * Puts changed parts of the machine inventory on record, a few in one transaction, within a share of the write budget.
 * Machines that need a new fencing token are given it by the transaction that writes their part.
 */
final class InventoryWriter {
    /** All writes of the inventory wait in the queue as one. */
    private static final String QUEUE_NAME = "machine inventory";

    private static final long LEAST_GATHER_MICROS = 30_000;
    /**
     * Share of the budget that the machine inventory may take: its writes go first, and claims must not starve behind
     * them.
     */
    private static final double WRITE_SHARE = 0.3;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final Timers timers;
    private final InventoryLayout layout;
    private final InventoryLimits limits;
    private final MachineInventory.Listener listener;
    /** Parts that are not on record as they are now, apart from those in the transaction under way. */
    private final Set<Integer> dirtyParts = new HashSet<>();
    /** Null while none is under way. */
    private @Nullable InventoryTransaction underWay;
    /** Before this the next write would take more than the inventory's share of the budget. */
    private long nextWriteMicros;

    private boolean cleanupTokensDue;

    /** Writes nothing before it is asked to. */
    InventoryWriter(
            Config config,
            Leadership.Term term,
            RecordReplica replica,
            WriteQueue writeQueue,
            Timers timers,
            InventoryLayout layout,
            InventoryLimits limits,
            MachineInventory.Listener listener) {
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.timers = timers;
        this.layout = layout;
        this.limits = limits;
        this.listener = listener;
    }

    /** The part is not on record as it is now: it is written with the next transaction that has space for it. */
    void writeSoon(int part) {
        dirtyParts.add(part);
        long delayMicros = Math.max(LEAST_GATHER_MICROS, nextWriteMicros - timers.nowMicros());
        writeQueue.enqueue(
                QUEUE_NAME,
                WriteQueue.Urgency.SAFETY,
                delayMicros,
                this::beginTransaction,
                storeRevision -> transactionRecorded());
    }

    /** The next split is written as soon as the parts before those that it adds are on record. */
    void writeNextSplitSoon() {
        List<Integer> split = layout.nextSplit();
        if (split != null) {
            writeSoon(split.get(0));
        }
    }

    /** From now on machines that need a token only for cleanup get it, until no part is dirty any more. */
    void drawCleanupTokens() {
        cleanupTokensDue = true;
    }

    // ---- making a transaction ----------------------------------------------------------------------------------

    private List<Change> beginTransaction() {
        if (underWay != null) {
            dirtyParts.addAll(underWay.parts()); // the transaction before this one failed
        }
        InventoryTransaction transaction = nextTransaction();
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

    private InventoryTransaction nextTransaction() {
        List<Integer> split = layout.nextSplit();
        return split != null && layout.mayWriteNextSplit() ? splitTransaction(split) : dirtyPartsTransaction();
    }

    private InventoryTransaction splitTransaction(List<Integer> parts) {
        InventoryTransaction transaction = InventoryTransaction.ofSplit();
        for (int part : parts) {
            transaction.write(part, layout.machines(part), cleanupTokensDue);
        }
        dirtyParts.removeAll(parts);
        for (int part : parts) {
            if (needsNewToken(part)) {
                dirtyParts.add(part);
            }
        }
        return transaction;
    }

    private boolean needsNewToken(int part) {
        return layout.machines(part).stream()
                .anyMatch(machine -> machine.inventory().needsNewToken());
    }

    private InventoryTransaction dirtyPartsTransaction() {
        InventoryTransaction transaction = InventoryTransaction.drawing(nextToken());
        for (int part = 0; part < layout.partCount() && transaction.parts().size() < limits.partsAtOnce(); part++) {
            boolean toBeSplit = layout.isInPendingSplit(part);
            if (toBeSplit && !layout.isOnRecord(part)) {
                break; // what comes after it must not be on record before it
            }
            if (dirtyParts.contains(part) && !toBeSplit && !layout.isUnsplittable(part)) {
                transaction.write(part, layout.machines(part), cleanupTokensDue);
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

    // ---- once it is on record ----------------------------------------------------------------------------------

    private void transactionRecorded() {
        InventoryTransaction recorded = Objects.requireNonNull(underWay, "a write was begun before it is on record");
        underWay = null;
        if (recorded.isSplit()) {
            layout.nextSplitRecorded();
        }
        recorded.parts().forEach(layout::partRecorded);
        dirtyParts.removeAll(layout.unsplittableParts());
        cleanupTokensDue &= !dirtyParts.isEmpty();
        for (Machine machine : recorded.machinesAdded()) {
            machine.inventory().markRecorded();
        }
        for (Machine machine : recorded.machinesWithNewToken()) {
            machine.inventory().applyRaisedToken(recorded.newToken());
            listener.onTokenRaised(machine);
        }
        writeRest();
        listener.onInventoryWritten();
    }

    private void writeRest() {
        if (layout.pendingSplitCount() > 0) {
            writeNextSplitSoon();
        } else if (!dirtyParts.isEmpty()) {
            writeSoon(dirtyParts.iterator().next());
        }
    }
}
