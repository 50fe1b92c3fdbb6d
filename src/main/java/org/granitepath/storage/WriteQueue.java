package org.granitepath.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.CommitResult;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gathers the writes of one controller into transactions, within its share of the write budget. Only one transaction is
 * in progress at a time. Each change has the precondition that its key has the revision known to the replica, so that a
 * late duplicate of a transaction fails. The contents of writes are produced when the transaction is built, so that it
 * always contains the latest state.
 */
public final class WriteQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WriteQueue.class);

    /**
     * The order of writes when the budget is short: first those that keep work safe, then those that let work start or
     * end, last those that only report progress.
     */
    public enum Urgency {
        /** The write keeps work safe. */
        SAFETY,
        /** The write lets work start or end. */
        WORK,
        /** The write only reports progress. */
        PROGRESS_ONLY
    }

    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Timers timers;
    private final Supplier<List<Precondition>> fence;
    private final BooleanSupplier isOpen;
    private final PendingWrites pending;
    private final WritePace pace;
    private final RetryPolicy retryPolicy;
    /** Whether a transaction is in progress, or the delay after a failed one has not passed. */
    private boolean busy;

    private boolean behind;

    /**
     * @param transactionChanges the largest number of changes that the store accepts in a transaction
     * @param writesPerSecond the share of the write budget, in changes per second
     * @param rateControl whether to write less when the store refuses writes
     * @param fence the preconditions of every transaction
     * @param isOpen whether the queue may write; once false, it stays false for ever
     */
    public WriteQueue(
            KeyValueStore store,
            RecordReplica replica,
            Timers timers,
            int transactionChanges,
            double writesPerSecond,
            RateControl rateControl,
            Supplier<List<Precondition>> fence,
            BooleanSupplier isOpen) {
        this.store = store;
        this.replica = replica;
        this.timers = timers;
        this.fence = fence;
        this.isOpen = isOpen;
        this.pending = new PendingWrites(transactionChanges);
        TokenBucket budget = new TokenBucket(writesPerSecond, rateControl, timers.nowMicros());
        this.pace = new WritePace(timers, budget, this::sendIfDue);
        this.retryPolicy = new RetryPolicy(transactionChanges, rateControl);
    }

    /** Returns the share of the write budget that this queue keeps to, in changes per second. */
    public double writesPerSecond() {
        return pace.sharePerSecond();
    }

    /**
     * Returns whether more writes wait, progress writes aside, than the queue can send within a few seconds. The value
     * is updated whenever a transaction is sent.
     */
    public boolean isBehind() {
        return behind;
    }

    /**
     * Enqueues a write. A later write replaces an earlier one of the same name but never delays it. If the content is
     * empty, the write is withdrawn.
     *
     * @param delayMicros time after which the write is due; it may be sent earlier
     * @param content produces the changes when the transaction is built
     * @param onCommitted called with the store's revision after the commit
     */
    public void enqueue(
            String name, Urgency urgency, long delayMicros, Supplier<List<Change>> content, LongConsumer onCommitted) {
        long dueMicros = timers.nowMicros() + delayMicros;
        pending.add(name, new PendingWrites.Write(urgency, content, onCommitted, dueMicros));
        sendIfDue();
    }

    private void sendIfDue() {
        if (busy || pending.isEmpty() || !isOpen.getAsBoolean()) {
            return;
        }
        long nowMicros = timers.nowMicros();
        long waitMicros = pace.microsUntilAllowed(pending.microsUntilDue(nowMicros));
        if (waitMicros > 0) {
            pace.wakeAfter(waitMicros);
            return;
        }
        WriteBatch batch = gather(nowMicros);
        if (batch.size() == 0) {
            // All writes were withdrawn, or only progress writes wait and the budget is too short for them.
            pace.wakeAfter(RetryPolicy.RETRY_DELAY_MICROS);
            return;
        }
        send(batch);
    }

    private WriteBatch gather(long nowMicros) {
        int maxChanges = pace.maxChanges(retryPolicy.maxChanges());
        return pending.gather(nowMicros, maxChanges, pace.maxProgressChanges(maxChanges));
    }

    private void send(WriteBatch batch) {
        Transaction transaction = transactionFor(batch);
        busy = true;
        pace.recordSent(batch.size());
        pending.remove(batch.writes());
        behind = pace.isBehind(pending.countExcludingProgress());
        store.commit(transaction, result -> onAnswer(batch, result));
    }

    private Transaction transactionFor(WriteBatch batch) {
        List<Precondition> preconditions = new ArrayList<>(fence.get());
        for (Change change : batch.changes()) {
            preconditions.add(new Precondition(change.key(), replica.revision(change.key())));
        }
        return new Transaction(preconditions, batch.changes());
    }

    private void onAnswer(WriteBatch batch, CommitResult result) {
        pace.recordOutcome(result.outcome());
        if (result.outcome() == Outcome.OK) {
            onCommitted(batch, result.storeRevision());
        } else {
            LOG.debug(
                    "writes {}: transaction ended with {}, failed preconditions {}",
                    batch.writes().keySet(),
                    result.outcome(),
                    result.failedKeys());
            onFailed(batch, result.outcome());
        }
    }

    private void onCommitted(WriteBatch batch, long storeRevision) {
        for (Change change : batch.changes()) {
            replica.applyCommitted(change.key(), change.record(), storeRevision);
        }
        busy = false;
        retryPolicy.onCommitted();
        for (PendingWrites.Write write : batch.writes().values()) {
            write.onCommitted().accept(storeRevision);
        }
        sendIfDue();
    }

    private void onFailed(WriteBatch batch, Outcome outcome) {
        RetryPolicy.Decision decision =
                retryPolicy.onFailed(outcome, batch.writes().size(), batch.size());
        switch (decision.action()) {
            case ABANDON -> {
                logAbandoned(batch);
                resumeAfter(decision.delayMicros());
            }
            case SEND_AGAIN -> {
                pending.restore(batch.writes());
                resumeAfter(decision.delayMicros());
            }
            case READ_BACK -> {
                pending.restore(batch.writes());
                readBackAfter(decision.delayMicros());
            }
        }
    }

    /**
     * Logs writes that the store will never accept. They are not sent again; a later write of the same name may have
     * other contents.
     */
    private static void logAbandoned(WriteBatch batch) {
        for (Change change : batch.changes()) {
            LOG.error(
                    "the store rejects the write of {} ({} bytes, {} changes together): it is abandoned",
                    change.key(),
                    WriteBatch.maxChangeBytes(change),
                    batch.size());
        }
    }

    private void resumeAfter(long delayMicros) {
        timers.after(delayMicros, this::resume);
    }

    private void resume() {
        busy = false;
        sendIfDue();
    }

    private void readBackAfter(long delayMicros) {
        timers.after(
                delayMicros,
                () -> replica.requestBarrier(upToDate -> {
                    if (!isOpen.getAsBoolean()) {
                        return;
                    }
                    if (upToDate) {
                        resume();
                    } else {
                        readBackAfter(RetryPolicy.RETRY_DELAY_MICROS);
                    }
                }));
    }
}
