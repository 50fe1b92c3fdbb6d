package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.granitepath.storage.KeyValueStore.Change;
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
    private static final long RETRY_MICROS = 300_000;
    private static final long REFUSED_MICROS = 100_000;
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;
    private static final int CHANGE_OVERHEAD_BYTES = 100;
    private static final double RESERVED_FROM_PROGRESS = 0.3;
    private static final int BEHIND_SECONDS = 3;
    /** How an elastic write queue yields when the service refuses, and takes up again when it does not. */
    private static final double LEAST_RATE = 0.03;

    private static final double RATE_STEP = 0.01;

    /** What goes first when the budget is short: what keeps work safe, what lets it start, what merely tells of it. */
    public enum Urgency {
        SAFETY,
        WORK,
        PROGRESS_ONLY
    }

    /** One thing to be written: a few changes that belong together. */
    private record Entry(Urgency urgency, Supplier<List<Change>> content, LongConsumer committed, long dueMicros) {}

    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Timers timers;
    private final int transactionChanges;
    private final double writesPerSecond;
    private final Supplier<List<Precondition>> fence;
    private final BooleanSupplier open;
    private final Map<String, Entry> pending = new LinkedHashMap<>();
    private boolean busy;
    private boolean behind;
    /** Changes to a transaction, at present. */
    private int mostAtOnce;

    private boolean timerSet;
    private double tokens;
    private long tokensAtMicros;
    private final boolean elastic;
    /** What an elastic write queue takes of its share at present. */
    private double rate;

    /**
     * @param elastic whether to write less when the service refuses: the shares of all controllers add up to more than
     *     there is, so that one alone can use it, and the leader's writes are not to suffer for that
     * @param fence guards on every transaction
     * @param open whether to write at all; once false, false for ever
     */
    public WriteQueue(
            KeyValueStore store,
            RecordReplica replica,
            Timers timers,
            int transactionChanges,
            double writesPerSecond,
            boolean elastic,
            Supplier<List<Precondition>> fence,
            BooleanSupplier open) {
        this.elastic = elastic;
        this.rate = writesPerSecond;
        this.store = store;
        this.replica = replica;
        this.timers = timers;
        this.transactionChanges = transactionChanges;
        this.mostAtOnce = transactionChanges;
        this.writesPerSecond = writesPerSecond;
        this.fence = fence;
        this.open = open;
        this.tokens = writesPerSecond;
        this.tokensAtMicros = timers.nowMicros();
    }

    /** The share of the write budget that this queue keeps to. */
    public double writesPerSecond() {
        return writesPerSecond;
    }

    /** Whether more waits, news aside, than can be written in a few seconds. */
    public boolean behind() {
        return behind;
    }

    /**
     * Asks for a write. A later wish under the same name replaces an earlier one, but never puts it off. An empty
     * content withdraws it.
     */
    public void enqueue(
            String name, Urgency urgency, long delayMicros, Supplier<List<Change>> content, LongConsumer committed) {
        long due = timers.nowMicros() + delayMicros;
        Entry old = pending.get(name);
        pending.put(
                name,
                old == null
                        ? new Entry(urgency, content, committed, due)
                        : new Entry(
                                urgency.compareTo(old.urgency()) < 0 ? urgency : old.urgency(),
                                content,
                                committed,
                                Math.min(due, old.dueMicros())));
        pump();
    }

    private void pump() {
        if (busy || pending.isEmpty() || !open.getAsBoolean()) {
            return;
        }
        long now = timers.nowMicros();
        long wait = waitMicros(now);
        if (wait > 0) {
            wake(wait);
            return;
        }
        Map<String, Entry> sent = new LinkedHashMap<>();
        List<Change> changes = new ArrayList<>();
        gather(now, changes, sent);
        if (changes.isEmpty()) {
            wake(RETRY_MICROS); // all withdrawn, or only progress, for which the budget is too short now
            return;
        }
        send(changes, sent);
    }

    /** How long until something is due and the budget allows a change; 0 or less: now. */
    private long waitMicros(long now) {
        tokens = Math.min(Math.max(1, rate), tokens + (now - tokensAtMicros) * rate / 1e6);
        tokensAtMicros = now;
        long wait = Long.MAX_VALUE;
        for (Entry entry : pending.values()) {
            wait = Math.min(wait, entry.dueMicros() - now);
        }
        return wait <= 0 && tokens < 1 ? (long) ((1 - tokens) * 1e6 / rate) + 1 : wait;
    }

    private void send(List<Change> changes, Map<String, Entry> sent) {
        List<Precondition> preconditions = new ArrayList<>(fence.get());
        for (Change change : changes) {
            preconditions.add(new Precondition(change.key(), replica.revision(change.key())));
        }
        busy = true;
        tokens -= changes.size();
        pending.keySet().removeAll(sent.keySet());
        behind = pending.values().stream()
                        .filter(entry -> entry.urgency() != Urgency.PROGRESS_ONLY)
                        .count()
                > BEHIND_SECONDS * writesPerSecond;
        store.commit(new Transaction(preconditions, changes), answer -> {
            if (elastic) {
                rate = answer.outcome() == Outcome.REFUSED
                        ? Math.max(LEAST_RATE * writesPerSecond, rate / 2)
                        : Math.min(writesPerSecond, rate + RATE_STEP * writesPerSecond);
            }
            if (answer.outcome() == Outcome.OK) {
                committed(changes, sent, answer.storeRevision());
            } else {
                LOG.debug("transaction on {} ended {} {}", sent.keySet(), answer.outcome(), answer.failed());
                failed(answer.outcome(), changes, sent);
            }
        });
    }

    private void committed(List<Change> changes, Map<String, Entry> sent, long storeRevision) {
        for (Change change : changes) {
            replica.applied(change.key(), change.record(), storeRevision);
        }
        busy = false;
        mostAtOnce = Math.min(transactionChanges, mostAtOnce + 1);
        for (Entry entry : sent.values()) {
            entry.committed().accept(storeRevision);
        }
        pump();
    }

    private void failed(Outcome outcome, List<Change> changes, Map<String, Entry> sent) {
        if (outcome == Outcome.REJECTED && sent.size() == 1) {
            abandon(changes);
            goOnAfter(REFUSED_MICROS);
            return;
        }
        sent.forEach(pending::putIfAbsent);
        if (outcome == Outcome.REJECTED) {
            mostAtOnce = 1; // the one at fault is found by itself, and the others are written
            goOnAfter(REFUSED_MICROS);
            return;
        }
        if (outcome == Outcome.REFUSED) {
            // Not carried out. A small transaction gets through sooner where others draw on the same budget.
            mostAtOnce = Math.max(1, changes.size() / 2);
            goOnAfter(elastic ? RETRY_MICROS : REFUSED_MICROS);
            return;
        }
        // Written or still under way: read back before trying again with the revisions as they then are.
        readBack(outcome == Outcome.CONFLICT ? 0 : RETRY_MICROS);
    }

    /** What the store will never take is not sent again as it stands; a later wish may have other contents. */
    private static void abandon(List<Change> changes) {
        for (Change change : changes) {
            LOG.error(
                    "the store rejects the write of {} ({} bytes, {} changes together): it is abandoned",
                    change.key(),
                    roughSize(change),
                    changes.size());
        }
    }

    private void goOnAfter(long delayMicros) {
        timers.after(delayMicros, () -> {
            busy = false;
            pump();
        });
    }

    /** Fills one transaction, most urgent first. Contents are made only while there is capacity: hundreds may wait. */
    private void gather(long now, List<Change> changes, Map<String, Entry> sent) {
        int most = Math.min(mostAtOnce, Math.max(1, (int) tokens));
        int bytes = 0;
        List<String> withdrawn = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            // News leave part of the budget free, so that what is urgent need not wait for it.
            int capacity = urgency != Urgency.PROGRESS_ONLY
                    ? most
                    : Math.min(most, (int) (tokens - writesPerSecond * RESERVED_FROM_PROGRESS));
            for (var named : pending.entrySet()) {
                Entry entry = named.getValue();
                if (changes.size() >= capacity) {
                    break;
                }
                if (entry.urgency() != urgency
                        || (entry.dueMicros() > now && changes.size() * 2 >= transactionChanges)) {
                    continue;
                }
                List<Change> content = entry.content().get();
                if (content.isEmpty()) {
                    withdrawn.add(named.getKey());
                    continue;
                }
                int size = content.stream().mapToInt(WriteQueue::roughSize).sum();
                if (!changes.isEmpty()
                        && (changes.size() + content.size() > most || bytes + size > MAX_TRANSACTION_BYTES)) {
                    continue;
                }
                changes.addAll(content);
                bytes += size;
                sent.put(named.getKey(), entry);
            }
        }
        pending.keySet().removeAll(withdrawn);
    }

    private static int roughSize(Change change) {
        return CHANGE_OVERHEAD_BYTES + (change.record() == null ? 0 : RecordSize.of(change.record()));
    }

    private void readBack(long delayMicros) {
        timers.after(
                delayMicros,
                () -> replica.barrier(fresh -> {
                    if (!open.getAsBoolean()) {
                        return;
                    }
                    if (fresh) {
                        busy = false;
                        pump();
                    } else {
                        readBack(RETRY_MICROS);
                    }
                }));
    }

    private void wake(long delayMicros) {
        if (!timerSet) {
            timerSet = true;
            timers.after(Math.min(delayMicros, RETRY_MICROS), () -> {
                timerSet = false;
                pump();
            });
        }
    }
}
