package org.granitepath.coordination.leadership;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who owns the machines. The leader holds a leased key; the transaction that takes it also draws the next fencing
 * token from the shared counter and names the leader of all machines of the inventory there. It is the same small
 * write however many machines there are; the machine inventory says only which these are, and only the leader on
 * record can change them.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final long CHECK_MICROS = 250_000;

    /** What a won campaign brings: the fencing token, and the guard for all later writes. */
    public record Term(long fencingToken, long leaderRevision) {}

    /** The term that this controller holds, and the lease that its leader key is attached to. */
    private record HeldTerm(Term term, LeaderLease lease) {}

    /** Told when this controller begins and ceases to lead. */
    public interface Listener {
        /** This controller leads, and its replica is as new as the write that made it so. */
        void onElected(Term term);

        /** This controller leads no more. */
        void onLeadershipLost(String why);
    }

    private final Config config;
    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Timers timers;
    private final Listener listener;
    private final BooleanSupplier peersDisconnected;
    private final CampaignEligibility eligibility;
    private LeadershipPhase phase = LeadershipPhase.FOLLOWING;
    /** Null while this controller does not lead. */
    private @Nullable HeldTerm held;
    /** When the last term that is over was last confirmed; 0 before the first term is over. */
    private long formerConfirmedMicros;

    /** @param peersDisconnected whether every other controller lately told that the store doesn't answer it */
    public Leadership(
            Config config,
            KeyValueStore store,
            RecordReplica replica,
            Timers timers,
            BooleanSupplier peersDisconnected,
            Listener listener) {
        this.config = config;
        this.store = store;
        this.replica = replica;
        this.timers = timers;
        this.peersDisconnected = peersDisconnected;
        this.listener = listener;
        this.eligibility = new CampaignEligibility(config, replica, timers);
    }

    /** Begins to campaign whenever there is no leader. */
    public void start() {
        timers.after(CHECK_MICROS, this::tick);
    }

    /** Whether a campaign was won and the term is not known to be over. */
    public boolean isLeader() {
        return held != null;
    }

    /** The fencing token of our term, or 0. */
    public long fencingToken() {
        return held == null ? 0 : held.term().fencingToken();
    }

    /** Whether workers may be answered: we lead, and could not have missed a cancellation for too long. */
    public boolean canAnswerWorkers() {
        refreshPhase();
        return phase == LeadershipPhase.LEADING || phase == LeadershipPhase.DISCONNECTED;
    }

    /** Whether the store confirmed lately that we lead. */
    public boolean isLeaseConfirmed() {
        refreshPhase();
        return phase == LeadershipPhase.LEADING;
    }

    /**
     * Whether a task may be started: a cancellation that some controller has confirmed must not have escaped us. Out
     * of contact we can't tell that from an outage, unless all others say that they are out of contact as well: then
     * none of them can have confirmed one.
     */
    public boolean canStartTasks() {
        return isLeaseConfirmed() || (phase == LeadershipPhase.DISCONNECTED && peersDisconnected.getAsBoolean());
    }

    /** When the last request was sent that the store answered with our being the leader; 0 before the first term. */
    public long lastConfirmedMicros() {
        return held == null ? formerConfirmedMicros : held.lease().lastConfirmedMicros();
    }

    /** The leader on record, or null. */
    public @Nullable String leaderNode() {
        LeaderRecord leader = replica.leader();
        return leader == null ? null : leader.node();
    }

    /** The leader record changed. */
    public void onLeaderRecordChanged() {
        LeaderRecord leader = replica.leader();
        if (held != null) {
            Term term = held.term();
            if (!isOurs(leader, term) && replica.revision(Keys.LEADER) != term.leaderRevision()) {
                loseLeadership(leader == null ? "our lease ran out" : "taken over by " + leader.node());
            }
        } else if (leader == null) {
            considerCampaign();
        }
    }

    private boolean isOurs(@Nullable LeaderRecord leader, Term term) {
        return leader != null
                && config.identity().incarnation().equals(leader.incarnation())
                && leader.fencingToken() == term.fencingToken();
    }

    /** Hands the machines over: another can do better. */
    public void stepDown(String why) {
        if (held == null) {
            return;
        }
        Precondition stillOurs = new Precondition(Keys.LEADER, held.term().leaderRevision());
        Transaction removal = new Transaction(List.of(stillOurs), List.of(Change.remove(Keys.LEADER)));
        store.commit(removal, answer -> {}); // should this be lost, the lease runs out by itself
        eligibility.steppedDown();
        loseLeadership(why);
    }

    private void tick() {
        timers.after(CHECK_MICROS, this::tick);
        if (held == null) {
            considerCampaign();
            return;
        }
        held.lease().renewIfDue(timers.nowMicros());
        refreshPhase();
    }

    private void considerCampaign() {
        if (phase == LeadershipPhase.FOLLOWING) {
            eligibility.reason().ifPresent(this::startCampaign);
        }
    }

    /** The only place where the phase changes. */
    private void transition(LeadershipPhase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.allows(next)) {
            throw new IllegalStateException("leadership can't go from " + phase + " to " + next);
        }
        LOG.info("leadership {} -> {} ({})", phase, next, why);
        phase = next;
    }

    /** {@code FOLLOWING -> CAMPAIGNING}. */
    private void startCampaign(Campaign.Reason reason) {
        transition(LeadershipPhase.CAMPAIGNING, reason.text());
        Campaign.Listener campaignListener = new Campaign.Listener() {
            @Override
            public void won(Campaign.Victory victory) {
                beginTerm(victory);
            }

            @Override
            public void abandoned(String why) {
                abandonCampaign(why);
            }
        };
        new Campaign(config, store, replica, timers, reason, campaignListener).start();
    }

    /** {@code CAMPAIGNING -> FOLLOWING}. */
    private void abandonCampaign(String why) {
        eligibility.campaignAbandoned();
        transition(LeadershipPhase.FOLLOWING, why);
    }

    /** {@code CAMPAIGNING -> LEADING}. */
    private void beginTerm(Campaign.Victory victory) {
        Term term = victory.term();
        HeldTerm begun = new HeldTerm(term, newLease(victory));
        held = begun;
        // Only now: the change of the leader record is judged by the term.
        for (Change change : victory.changes()) {
            replica.applied(change.key(), change.record(), term.leaderRevision());
        }
        transition(LeadershipPhase.LEADING, "fencing token " + term.fencingToken());
        takeOver(begun);
    }

    private LeaderLease newLease(Campaign.Victory victory) {
        LeaderLease.Listener leaseListener = new LeaderLease.Listener() {
            @Override
            public void renewed() {
                refreshPhase();
            }

            @Override
            public void expired() {
                loseLeadership("our lease ran out");
            }
        };
        return new LeaderLease(
                store,
                timers,
                victory.lease(),
                config.tuning().leaderLeaseMicros(),
                victory.openedMicros(),
                leaseListener);
    }

    /**
     * The term begins once the replica is as new as the write that began it: a late write of the former leader may
     * have gone in just before ours, and a machine inventory begun by it must not be overlooked. After ours none of
     * its writes can.
     */
    private void takeOver(HeldTerm begun) {
        replica.barrier(fresh -> {
            if (!begun.equals(held)) {
                return;
            }
            if (fresh) {
                listener.onElected(begun.term());
            } else {
                timers.after(CHECK_MICROS, () -> takeOver(begun));
            }
        });
    }

    /**
     * Moves among {@code LEADING}, {@code DISCONNECTED} and {@code FENCED_OFF} by the time that has passed. A process
     * that stood still goes on with whatever came first, a heartbeat that waited or a timer, in the phase from before
     * its pause, while a successor may hold the machines: so the phase is looked at again before it is relied on.
     */
    private void refreshPhase() {
        if (held == null) {
            return;
        }
        long sinceContactMicros = timers.nowMicros() - lastContactMicros(held.lease());
        long maxDisconnectedMicros = config.workers().maxDisconnectedMicros();
        if (sinceContactMicros <= Math.min(config.tuning().leaderLeaseMicros(), maxDisconnectedMicros)) {
            transition(LeadershipPhase.LEADING, "the state service answers");
        } else if (sinceContactMicros <= maxDisconnectedMicros) {
            transition(LeadershipPhase.DISCONNECTED, "no answer from the state service");
        } else {
            transition(LeadershipPhase.FENCED_OFF, "a cancellation could have been missed for too long");
        }
    }

    /**
     * The older of two words of the store: that the lease is ours, and what the records are. A cancellation shows in
     * the records alone, and renewals may get through while reads don't; when an outage ends the first renewal comes
     * before the first read.
     */
    private long lastContactMicros(LeaderLease lease) {
        return Math.min(lease.lastConfirmedMicros(), replica.lastContactMicros());
    }

    /** From any phase of a term to {@code FOLLOWING}. */
    private void loseLeadership(String why) {
        if (held == null) {
            return;
        }
        held.lease().release();
        formerConfirmedMicros = held.lease().lastConfirmedMicros();
        held = null;
        transition(LeadershipPhase.FOLLOWING, why);
        listener.onLeadershipLost(why);
        considerCampaign();
    }
}
