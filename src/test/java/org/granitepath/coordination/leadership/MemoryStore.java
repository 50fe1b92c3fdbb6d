package org.granitepath.coordination.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.StoredRecordCodec;
import org.granitepath.storage.Timers;

/** An in-memory store that answers after one millisecond, or times out while it is unreachable. */
public final class MemoryStore implements KeyValueStore {
    /** The delay of an answer. */
    public static final long ANSWER_MICROS = 1_000;

    private static final long TIMEOUT_MICROS = 500_000;

    private final Timers timers;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new HashMap<>();
    private long storeRevision = 1;
    private long leasesOpened;
    /** While set, no request is executed or answered. */
    public boolean unreachable;
    /** While set, reads are not answered; all other requests are. */
    public boolean readsWithheld;
    /** While set, renewals are not answered until {@link #answerWithheldRenewals} is called. */
    boolean renewalsWithheld;

    private final List<Runnable> withheldRenewals = new ArrayList<>();

    /** Creates an empty store. */
    public MemoryStore(Timers timers) {
        this.timers = timers;
    }

    /** Writes a record as another client would; null removes the key. */
    public void put(String key, StoredRecord record, long lease) {
        storeRevision++;
        items.put(key, new Item(key, record == null ? null : StoredRecordCodec.encode(record), storeRevision));
        leaseOfKey.put(key, lease);
    }

    /** Lets the lease of a key expire, which removes the key. */
    void expireLeaseOf(String key) {
        put(key, null, 0);
    }

    private long revisionOf(String key) {
        Item item = items.get(key);
        return item == null || item.value() == null ? 0 : item.revision();
    }

    private void answer(Runnable onAnswer, Runnable onTimeout) {
        answer(unreachable, onAnswer, onTimeout);
    }

    private void answer(boolean withheld, Runnable onAnswer, Runnable onTimeout) {
        if (withheld) {
            timers.after(TIMEOUT_MICROS, onTimeout);
        } else {
            timers.after(ANSWER_MICROS, onAnswer);
        }
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        answer(() -> callback.accept(execute(transaction)), () -> callback.accept(result(Outcome.UNKNOWN)));
    }

    private CommitResult execute(Transaction transaction) {
        for (Precondition precondition : transaction.preconditions()) {
            if (revisionOf(precondition.key()) != precondition.revision()) {
                return result(Outcome.CONFLICT);
            }
        }
        transaction.changes().forEach(change -> put(change.key(), change.record(), change.leaseId()));
        // A real store gives all changes of a transaction one revision. For preconditions the last one serves as well.
        transaction
                .changes()
                .forEach(change -> items.computeIfPresent(
                        change.key(), (key, item) -> new Item(key, item.value(), storeRevision)));
        return result(Outcome.OK);
    }

    private CommitResult result(Outcome outcome) {
        return new CommitResult(outcome, storeRevision, List.of());
    }

    @Override
    public void list(String prefix, String afterKey, int limit, Consumer<Page> callback) {
        read(0, callback);
    }

    @Override
    public void follow(String prefix, long afterRevision, long waitMicros, Consumer<Page> callback) {
        read(afterRevision, callback);
    }

    private void read(long afterRevision, Consumer<Page> callback) {
        answer(
                unreachable || readsWithheld,
                () -> callback.accept(new Page(
                        Outcome.OK,
                        items.values().stream()
                                .filter(item -> item.revision() > afterRevision)
                                .toList(),
                        false,
                        storeRevision)),
                () -> callback.accept(new Page(Outcome.UNKNOWN, List.of(), false, 0)));
    }

    @Override
    public void openLease(long durationMicros, Consumer<LeaseResult> callback) {
        answer(
                () -> callback.accept(new LeaseResult(Outcome.OK, ++leasesOpened)),
                () -> callback.accept(new LeaseResult(Outcome.UNKNOWN, 0)));
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> callback) {
        Runnable onAnswer = () -> callback.accept(leaseOfKey.containsValue(lease) ? Outcome.OK : Outcome.NOT_FOUND);
        if (renewalsWithheld) {
            withheldRenewals.add(onAnswer);
        } else {
            answer(onAnswer, () -> callback.accept(Outcome.UNKNOWN));
        }
    }

    /** Answers the withheld renewals according to the leases that exist now, and returns their number. */
    int answerWithheldRenewals() {
        int count = withheldRenewals.size();
        withheldRenewals.forEach(Runnable::run);
        withheldRenewals.clear();
        return count;
    }
}
