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

/** A store in memory that answers after a millisecond, or not while it is unreachable. */
public final class MemoryStore implements KeyValueStore {
    /** How long an answer takes. */
    public static final long ANSWER_MICROS = 1_000;

    private static final long TIMEOUT_MICROS = 500_000;

    private final Timers timers;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new HashMap<>();
    private long storeRevision = 1;
    private long leasesOpened;
    /** While set, no request is carried out or answered. */
    public boolean unreachable;
    /** While set, reads are not answered; all else is. */
    public boolean readsWithheld;
    /** While set, renewals are not answered before {@link #answerWithheldRenewals}. */
    boolean renewalsWithheld;

    private final List<Runnable> withheldRenewals = new ArrayList<>();

    /** An empty store. */
    public MemoryStore(Timers timers) {
        this.timers = timers;
    }

    /** Writes as another client would; null removes. */
    public void put(String key, StoredRecord record, long lease) {
        storeRevision++;
        items.put(key, new Item(key, record == null ? null : StoredRecordCodec.encode(record), storeRevision));
        leaseOfKey.put(key, lease);
    }

    /** Ends the lease of a key, and with it the key. */
    void expireLeaseOf(String key) {
        put(key, null, 0);
    }

    private long revisionOf(String key) {
        Item item = items.get(key);
        return item == null || item.value() == null ? 0 : item.revision();
    }

    private void answer(Runnable served, Runnable timedOut) {
        answer(unreachable, served, timedOut);
    }

    private void answer(boolean withheld, Runnable served, Runnable timedOut) {
        if (withheld) {
            timers.after(TIMEOUT_MICROS, timedOut);
        } else {
            timers.after(ANSWER_MICROS, served);
        }
    }

    @Override
    public void commit(Transaction transaction, Consumer<Committed> then) {
        answer(() -> then.accept(carryOut(transaction)), () -> then.accept(ended(Outcome.UNKNOWN)));
    }

    private Committed carryOut(Transaction transaction) {
        for (Precondition precondition : transaction.preconditions()) {
            if (revisionOf(precondition.key()) != precondition.revision()) {
                return ended(Outcome.CONFLICT);
            }
        }
        transaction.changes().forEach(change -> put(change.key(), change.record(), change.lease()));
        // One revision for all changes of a transaction would be truer; for guards the last one serves as well.
        transaction
                .changes()
                .forEach(change -> items.computeIfPresent(
                        change.key(), (key, item) -> new Item(key, item.value(), storeRevision)));
        return ended(Outcome.OK);
    }

    private Committed ended(Outcome outcome) {
        return new Committed(outcome, storeRevision, List.of());
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<Page> then) {
        read(0, then);
    }

    @Override
    public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
        read(from, then);
    }

    private void read(long from, Consumer<Page> then) {
        answer(
                unreachable || readsWithheld,
                () -> then.accept(new Page(
                        Outcome.OK,
                        items.values().stream()
                                .filter(item -> item.revision() > from)
                                .toList(),
                        false,
                        storeRevision)),
                () -> then.accept(new Page(Outcome.UNKNOWN, List.of(), false, 0)));
    }

    @Override
    public void openLease(long lifeMicros, Consumer<Leased> then) {
        answer(
                () -> then.accept(new Leased(Outcome.OK, ++leasesOpened)),
                () -> then.accept(new Leased(Outcome.UNKNOWN, 0)));
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> then) {
        Runnable served = () -> then.accept(leaseOfKey.containsValue(lease) ? Outcome.OK : Outcome.NOT_FOUND);
        if (renewalsWithheld) {
            withheldRenewals.add(served);
        } else {
            answer(served, () -> then.accept(Outcome.UNKNOWN));
        }
    }

    /** Answers the renewals that were withheld, by the leases there are now; tells how many they were. */
    int answerWithheldRenewals() {
        int count = withheldRenewals.size();
        withheldRenewals.forEach(Runnable::run);
        withheldRenewals.clear();
        return count;
    }
}
