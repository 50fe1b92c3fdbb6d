package org.granitepath.coordination.leadership;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/**
 * One attempt to become leader: opens a lease, reads the records afresh, and commits the transaction that takes the
 * leader key and draws the next fencing token. It ends with exactly one call of its listener.
 */
final class Campaign {
    /** Why this controller may stand for leader. */
    enum Reason {
        NO_LEADER("no leader on record"),
        /** The leader on record is an earlier process of this controller, and that has ended. */
        RESTARTED("we led before our restart");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }
    }

    /**
     * What a won campaign leaves.
     *
     * @param openedMicros when the request that opened the lease was sent
     * @param changes what was committed at the revision that guards the term
     */
    record Victory(Leadership.Term term, long lease, long openedMicros, List<Change> changes) {}

    /** Told how the campaign ended. */
    interface Listener {
        /** This controller is the leader on record. */
        void won(Victory victory);

        /** Nothing was won. */
        void abandoned(String why);
    }

    private final Config config;
    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Reason reason;
    private final long startedMicros;
    private final Listener listener;

    Campaign(
            Config config,
            KeyValueStore store,
            RecordReplica replica,
            Timers timers,
            Reason reason,
            Listener listener) {
        this.config = config;
        this.store = store;
        this.replica = replica;
        this.reason = reason;
        this.startedMicros = timers.nowMicros();
        this.listener = listener;
    }

    /** Begins; the request that opens the lease is sent at once. */
    void start() {
        store.openLease(config.tuning().leaderLeaseMicros(), leased -> {
            if (leased.outcome() == Outcome.OK) {
                replica.barrier(fresh -> commitIfStillFree(fresh, leased.lease()));
            } else {
                listener.abandoned("no lease to be had");
            }
        });
    }

    /** Looks at the leader record as it is now: another controller may have won meanwhile. */
    private void commitIfStillFree(boolean fresh, long lease) {
        if (!fresh) {
            listener.abandoned("can't read the records");
        } else if (!leaderKeyIsFree()) {
            listener.abandoned("another was faster");
        } else {
            commit(lease);
        }
    }

    private boolean leaderKeyIsFree() {
        LeaderRecord leader = replica.leader();
        return leader == null || (reason == Reason.RESTARTED && config.node().equals(leader.node()));
    }

    private void commit(long lease) {
        FencingTokenRecord counter = replica.fencingToken();
        long fencingToken = (counter == null ? 0 : counter.last()) + 1;
        LeaderRecord leader = new LeaderRecord(config.node(), config.identity().incarnation(), fencingToken);
        FencingTokenRecord drawn = new FencingTokenRecord(config.node(), fencingToken, fencingToken);
        List<Change> changes = List.of(new Change(Keys.LEADER, leader, lease), Change.write(Keys.FENCING_TOKEN, drawn));
        List<Precondition> unchanged = changes.stream()
                .map(change -> new Precondition(change.key(), replica.revision(change.key())))
                .toList();
        store.commit(new Transaction(unchanged, changes), answer -> {
            if (answer.outcome() == Outcome.OK) {
                Leadership.Term term = new Leadership.Term(fencingToken, answer.storeRevision());
                listener.won(new Victory(term, lease, startedMicros, changes));
            } else {
                // If it is carried out all the same, nobody renews the lease and the key goes with it.
                listener.abandoned("takeover " + answer.outcome());
            }
        });
    }
}
