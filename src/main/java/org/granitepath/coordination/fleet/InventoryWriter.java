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
import org.granitepath.storage.Micros;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.jspecify.annotations.Nullable;

/**
 * Writes changed parts of the machine inventory to the store, several in one transaction, within a share of the write
 * budget. A machine that needs a new fencing token gets it with the transaction that writes its part.
 */
final class InventoryWriter {
    /** The name shared by all writes of the inventory, so that the queue holds at most one of them. */
    private static final String QUEUE_NAME = "machine inventory";

    private static final long MIN_BATCHING_DELAY_MICROS = 30_000;
    /**
     * The share of the write budget that the machine inventory may use. It is limited because these writes take
     * precedence over job claims, which must not starve.
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
    /** Parts whose current contents are not stored, except those in the transaction in flight. */
    private final Set<Integer> dirtyParts = new HashSet<>();
    /** The transaction in flight, or one that has failed and is to be repeated; null when there is none. */
    private @Nullable InventoryTransaction inFlight;
    /** The earliest time of the next write that keeps within the inventory's share of the budget. */
    private long nextWriteMicros;

    private boolean cleanupTokensDue;

    /** Creates a writer; nothing is written until one of its methods requests it. */
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

    /** Schedules the part to be written with its current contents by the next transaction that has space for it. */
    void writeSoon(int part) {
        dirtyParts.add(part);
        long delayMicros = Math.max(MIN_BATCHING_DELAY_MICROS, nextWriteMicros - timers.nowMicros());
        writeQueue.enqueue(
                QUEUE_NAME,
                WriteQueue.Urgency.SAFETY,
                delayMicros,
                this::buildTransaction,
                storeRevision -> onCommitted());
    }

    /** Schedules the next split, if any, to be written as soon as all parts that precede its new parts are stored. */
    void writeNextSplitSoon() {
        List<Integer> split = layout.nextSplit();
        if (split != null) {
            writeSoon(split.get(0));
        }
    }

    /**
     * Lets the following writes give a new token also to machines that need one only for cleanup, until no part is
     * dirty any more.
     */
    void allocateCleanupTokens() {
        cleanupTokensDue = true;
    }

    private List<Change> buildTransaction() {
        if (inFlight != null) {
            dirtyParts.addAll(inFlight.parts()); // the previous transaction has failed
        }
        InventoryTransaction transaction = nextTransaction();
        inFlight = transaction;
        List<Change> changes = transaction.changes();
        if (!transaction.machinesWithNewToken().isEmpty()) {
            changes.add(Change.write(
                    Keys.FENCING_TOKEN,
                    new FencingTokenRecord(config.node(), term.fencingToken(), transaction.newToken())));
        }
        nextWriteMicros = timers.nowMicros()
                + (long) (changes.size() * Micros.PER_SECOND / (writeQueue.writesPerSecond() * WRITE_SHARE));
        return changes;
    }

    private InventoryTransaction nextTransaction() {
        List<Integer> split = layout.nextSplit();
        return split != null && layout.canWriteNextSplit() ? splitTransaction(split) : dirtyPartsTransaction();
    }

    private InventoryTransaction splitTransaction(List<Integer> parts) {
        InventoryTransaction transaction = InventoryTransaction.forSplit();
        for (int part : parts) {
            transaction.addPart(part, layout.machines(part), cleanupTokensDue);
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
        InventoryTransaction transaction = InventoryTransaction.withNewToken(nextToken());
        for (int part = 0;
                part < layout.partCount() && transaction.parts().size() < limits.partsPerTransaction();
                part++) {
            boolean isSplitPending = layout.isInPendingSplit(part);
            if (isSplitPending && !layout.isStored(part)) {
                break; // storing a later part before this one would leave a gap in the part numbers
            }
            if (dirtyParts.contains(part) && !isSplitPending && !layout.isUnsplittable(part)) {
                transaction.addPart(part, layout.machines(part), cleanupTokensDue);
            }
        }
        // A change that occurs while the transaction is in flight marks its part as dirty again.
        dirtyParts.removeAll(transaction.parts());
        return transaction;
    }

    private long nextToken() {
        FencingTokenRecord counter = replica.fencingToken();
        return (counter == null ? term.fencingToken() : counter.lastIssuedToken()) + 1;
    }

    private void onCommitted() {
        InventoryTransaction committed =
                Objects.requireNonNull(inFlight, "a committed transaction must have been in flight");
        inFlight = null;
        if (committed.isSplit()) {
            layout.markNextSplitStored();
        }
        committed.parts().forEach(layout::markStored);
        dirtyParts.removeAll(layout.unsplittableParts());
        cleanupTokensDue &= !dirtyParts.isEmpty();
        for (Machine machine : committed.machinesAdded()) {
            machine.inventory().markRecorded();
        }
        for (Machine machine : committed.machinesWithNewToken()) {
            machine.inventory().applyRaisedToken(committed.newToken());
            listener.onTokenRaised(machine);
        }
        scheduleRemainingWrites();
        listener.onInventoryWritten();
    }

    private void scheduleRemainingWrites() {
        if (layout.pendingSplitCount() > 0) {
            writeNextSplitSoon();
        } else if (!dirtyParts.isEmpty()) {
            writeSoon(dirtyParts.iterator().next());
        }
    }
}
