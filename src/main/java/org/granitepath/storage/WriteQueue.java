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
 * Writes of one controller, gathered into transactions within its share of the write budget. One transaction is under
 * way at a time; each change is guarded by the revision that the replica has of its key, so a late copy of a
 * transaction fails. Contents are produced when the transaction is built, so what goes out is always the latest.
 */
public final class WriteQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WriteQueue.class);

    /** What goes first when the budget is short: what keeps work safe, what lets it start, what merely tells of it. */
    public enum Urgency {
        /** Keeps work safe. */
        SAFETY,
        /** Lets work start or end. */
        WORK,
        /** Merely tells of progress. */
        PROGRESS_ONLY
    }

    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Timers timers;
    private final Supplier<List<Precondition>> fence;
    private final BooleanSupplier open;
    private final PendingWrites pending;
    private final WritePace pace;
    private final RetryPolicy retryPolicy;
    /** Whether a transaction is under way, or a failed one is waited out. */
    private boolean busy;

    private boolean isBehind;

    /**
     * @param transactionChanges the most changes that the store takes in a transaction
     * @param writesPerSecond the share of the write budget, in changes a second
     * @param rateControl whether to write less when the store refuses
     * @param fence preconditions of every transaction
     * @param open whether to write at all; once false, false for ever
     */
    public WriteQueue(
            KeyValueStore store,
            RecordReplica replica,
            Timers timers,
            int transactionChanges,
            double writesPerSecond,
            RateControl rateControl,
            Supplier<List<Precondition>> fence,
            BooleanSupplier open) {
        this.store = store;
        this.replica = replica;
        this.timers = timers;
        this.fence = fence;
        this.open = open;
        this.pending = new PendingWrites(transactionChanges);
        TokenBucket budget = new TokenBucket(writesPerSecond, rateControl, timers.nowMicros());
        this.pace = new WritePace(timers, budget, this::sendIfDue);
        this.retryPolicy = new RetryPolicy(transactionChanges, rateControl);
    }

    /** The share of the write budget that this queue keeps to. */
    public double writesPerSecond() {
        return pace.sharePerSecond();
    }

    /** Whether more waits, mere progress aside, than can be written in a few seconds. */
    public boolean isBehind() {
        return isBehind;
    }

    /**
     * Asks for a write. A later one under the same name replaces an earlier one, but never puts it off. An empty
     * content withdraws it.
     */
    public void enqueue(
            String name, Urgency urgency, long delayMicros, Supplier<List<Change>> content, LongConsumer committed) {
        long dueMicros = timers.nowMicros() + delayMicros;
        pending.add(name, new PendingWrites.Write(urgency, content, committed, dueMicros));
        sendIfDue();
    }

    private void sendIfDue() {
        if (busy || pending.isEmpty() || !open.getAsBoolean()) {
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
            // All withdrawn, or only progress, for which the budget is too short.
            pace.wakeAfter(RetryPolicy.RETRY_MICROS);
            return;
        }
        send(batch);
    }

    private WriteBatch gather(long nowMicros) {
        int most = pace.mostChanges(retryPolicy.largestTransaction());
        return pending.gather(nowMicros, most, pace.mostProgressChanges(most));
    }

    private void send(WriteBatch batch) {
        Transaction transaction = guarded(batch);
        busy = true;
        pace.sent(batch.size());
        pending.remove(batch.writes());
        isBehind = pace.isBehind(pending.countWithoutProgress());
        store.commit(transaction, answer -> answered(batch, answer));
    }

    private Transaction guarded(WriteBatch batch) {
        List<Precondition> preconditions = new ArrayList<>(fence.get());
        for (Change change : batch.changes()) {
            preconditions.add(new Precondition(change.key(), replica.revision(change.key())));
        }
        return new Transaction(preconditions, batch.changes());
    }

    private void answered(WriteBatch batch, CommitResult answer) {
        pace.answered(answer.outcome());
        if (answer.outcome() == Outcome.OK) {
            committed(batch, answer.storeRevision());
        } else {
            LOG.debug("transaction on {} ended {} {}", batch.writes().keySet(), answer.outcome(), answer.failedKeys());
            failed(batch, answer.outcome());
        }
    }

    private void committed(WriteBatch batch, long storeRevision) {
        for (Change change : batch.changes()) {
            replica.applyCommitted(change.key(), change.record(), storeRevision);
        }
        busy = false;
        retryPolicy.committed();
        for (PendingWrites.Write write : batch.writes().values()) {
            write.committed().accept(storeRevision);
        }
        sendIfDue();
    }

    private void failed(WriteBatch batch, Outcome outcome) {
        RetryPolicy.Decision decision =
                retryPolicy.failed(outcome, batch.writes().size(), batch.size());
        switch (decision.action()) {
            case ABANDON -> {
                logAbandoned(batch);
                goOnAfter(decision.delayMicros());
            }
            case SEND_AGAIN -> {
                pending.restore(batch.writes());
                goOnAfter(decision.delayMicros());
            }
            case READ_BACK -> {
                pending.restore(batch.writes());
                readBackAfter(decision.delayMicros());
            }
        }
    }

    /** What the store will never take is not sent again as it stands; a later write may have other contents. */
    private static void logAbandoned(WriteBatch batch) {
        for (Change change : batch.changes()) {
            LOG.error(
                    "the store rejects the write of {} ({} bytes, {} changes together): it is abandoned",
                    change.key(),
                    WriteBatch.roughBytes(change),
                    batch.size());
        }
    }

    private void goOnAfter(long delayMicros) {
        timers.after(delayMicros, this::goOn);
    }

    private void goOn() {
        busy = false;
        sendIfDue();
    }

    private void readBackAfter(long delayMicros) {
        timers.after(
                delayMicros,
                () -> replica.requestBarrier(fresh -> {
                    if (!open.getAsBoolean()) {
                        return;
                    }
                    if (fresh) {
                        goOn();
                    } else {
                        readBackAfter(RetryPolicy.RETRY_MICROS);
                    }
                }));
    }
}
