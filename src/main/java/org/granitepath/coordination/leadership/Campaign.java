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
 * One attempt to become leader. It opens a lease, brings the replica up to date, and commits the transaction that
 * writes the leader key and takes the next fencing token. It ends with exactly one call of its listener.
 */
final class Campaign {
    /** Why this controller may campaign. */
    enum Reason {
        /** The store holds no leader record. */
        NO_LEADER("no leader on record"),
        /** The leader on record is an earlier process of this controller, which has ended. */
        RESTARTED("the leader on record is this controller before its restart");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason as it is logged. */
        String text() {
            return text;
        }
    }

    /**
     * The result of a campaign that was won.
     *
     * @param lease the id of the lease that the leader key is attached to
     * @param openedMicros when the request that opened the lease was sent
     * @param changes the changes that were committed at {@link Leadership.Term#leaderRevision}
     */
    record WonCampaign(Leadership.Term term, long lease, long openedMicros, List<Change> changes) {}

    /** Receives the outcome of the campaign. */
    interface Listener {
        /** This controller is now the leader on record. */
        void onWon(WonCampaign won);

        /** The campaign ended without making this controller the leader. */
        void onAbandoned(String why);
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

    /** Starts the campaign by sending the request that opens the lease. */
    void start() {
        store.openLease(config.tuning().leaderLeaseMicros(), leased -> {
            if (leased.outcome() == Outcome.OK) {
                replica.requestBarrier(fresh -> commitIfLeaderKeyIsFree(fresh, leased.leaseId()));
            } else {
                listener.onAbandoned("the store granted no lease");
            }
        });
    }

    /** Checks the leader record again after the read: another controller may have become leader in the meantime. */
    private void commitIfLeaderKeyIsFree(boolean fresh, long lease) {
        if (!fresh) {
            listener.onAbandoned("the records could not be read");
        } else if (!leaderKeyIsFree()) {
            listener.onAbandoned("another controller became leader first");
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
        long fencingToken = (counter == null ? 0 : counter.lastIssuedToken()) + 1;
        LeaderRecord leader = new LeaderRecord(config.node(), config.identity().incarnation(), fencingToken);
        FencingTokenRecord nextToken = new FencingTokenRecord(config.node(), fencingToken, fencingToken);
        List<Change> changes =
                List.of(new Change(Keys.LEADER, leader, lease), Change.write(Keys.FENCING_TOKEN, nextToken));
        List<Precondition> unchanged = changes.stream()
                .map(change -> new Precondition(change.key(), replica.revision(change.key())))
                .toList();
        store.commit(new Transaction(unchanged, changes), answer -> {
            if (answer.outcome() == Outcome.OK) {
                Leadership.Term term = new Leadership.Term(fencingToken, answer.storeRevision());
                listener.onWon(new WonCampaign(term, lease, startedMicros, changes));
            } else {
                // If the store applies the transaction after all, no controller renews the lease, and the leader key
                // is removed when the lease expires.
                listener.onAbandoned("the takeover transaction ended with " + answer.outcome());
            }
        });
    }
}
