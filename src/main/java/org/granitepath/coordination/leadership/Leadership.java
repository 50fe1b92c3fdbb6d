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
 * Leader election and this controller's part in it. The leader manages all machines of the inventory. It holds a key
 * that is attached to a lease. The transaction that writes this key also takes the next fencing token from a shared
 * counter and records there which controller leads all machines of the inventory. This is the same small write however
 * many machines there are: the machine inventory only lists the machines, and only the leader on record can change it.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final long CHECK_INTERVAL_MICROS = 250_000;

    /**
     * A term of leadership.
     *
     * @param fencingToken the fencing token that the term started with
     * @param leaderRevision the revision of the leader record; it is the precondition of all writes of the term
     */
    public record Term(long fencingToken, long leaderRevision) {}

    /** The current term of this controller, and the lease that its leader key is attached to. */
    private record HeldTerm(Term term, LeaderLease lease) {}

    /** Receives notice when this controller becomes the leader and when it ceases to be. */
    public interface Listener {
        /**
         * This controller is the leader, and its replica is at least as recent as the write that made it the leader.
         */
        void onElected(Term term);

        /** This controller is not the leader any more. */
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
    /** Null while this controller is not the leader. */
    private @Nullable HeldTerm heldTerm;
    /** When the store last confirmed the previous term; 0 before the first term has ended. */
    private long previousTermConfirmedMicros;

    /**
     * Creates the election, which does nothing until it is started.
     *
     * @param peersDisconnected returns whether every peer has recently reported that the store does not answer it
     */
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

    /** Starts the periodic checks: from now on this controller campaigns whenever there is no leader. */
    public void start() {
        timers.after(CHECK_INTERVAL_MICROS, this::checkPeriodically);
    }

    /** Returns whether this controller has won a campaign and the term is not known to have ended. */
    public boolean isLeader() {
        return heldTerm != null;
    }

    /** Returns the fencing token of this controller's current term, or 0 if it is not the leader. */
    public long fencingToken() {
        return heldTerm == null ? 0 : heldTerm.term().fencingToken();
    }

    /**
     * Returns whether this controller may answer workers: it is the leader, and has been out of contact with the store
     * for no longer than {@code WorkerTiming.maxDisconnectedMicros}. After that time a cancellation that it has missed
     * would take effect too late.
     */
    public boolean canAnswerWorkers() {
        refreshPhase();
        return phase == LeadershipPhase.LEADING || phase == LeadershipPhase.DISCONNECTED;
    }

    /**
     * Returns whether the store has recently confirmed that this controller is the leader, and has recently answered a
     * read of the records.
     */
    public boolean isLeaseConfirmed() {
        refreshPhase();
        return phase == LeadershipPhase.LEADING;
    }

    /**
     * Returns whether tasks may be started. This controller must not have missed a cancellation that another controller
     * has confirmed. While it has no contact with the store, it cannot know whether the store is down for all
     * controllers or only unreachable from here. Tasks may then be started only if all peers report that they have no
     * contact either, because in that case none of them can have confirmed a cancellation.
     */
    public boolean canStartTasks() {
        return isLeaseConfirmed() || (phase == LeadershipPhase.DISCONNECTED && peersDisconnected.getAsBoolean());
    }

    /**
     * Returns the time at which the last request was sent whose answer confirmed that this controller was the leader,
     * or 0 before its first term.
     */
    public long lastConfirmedMicros() {
        return heldTerm == null ? previousTermConfirmedMicros : heldTerm.lease().lastConfirmedMicros();
    }

    /** Returns the node name of the leader on record, or null if there is none. */
    public @Nullable String leaderNode() {
        LeaderRecord leader = replica.leader();
        return leader == null ? null : leader.node();
    }

    /**
     * Reacts to a change of the leader record: ends the current term if it was replaced, or campaigns if none leads.
     */
    public void onLeaderRecordChanged() {
        LeaderRecord leader = replica.leader();
        if (heldTerm != null) {
            Term term = heldTerm.term();
            if (!isLeaderOfTerm(leader, term) && replica.revision(Keys.LEADER) != term.leaderRevision()) {
                loseLeadership(leader == null ? "the leader lease expired" : "taken over by " + leader.node());
            }
        } else if (leader == null) {
            campaignIfEligible();
        }
    }

    private boolean isLeaderOfTerm(@Nullable LeaderRecord leader, Term term) {
        return leader != null
                && config.identity().incarnation().equals(leader.incarnation())
                && leader.fencingToken() == term.fencingToken();
    }

    /** Ends the current term so that another controller can lead. Does nothing if this controller is not the leader. */
    public void stepDown(String why) {
        if (heldTerm == null) {
            return;
        }
        Precondition stillLeader = new Precondition(Keys.LEADER, heldTerm.term().leaderRevision());
        Transaction removal = new Transaction(List.of(stillLeader), List.of(Change.remove(Keys.LEADER)));
        // If this request is lost, the store removes the leader key when its lease expires.
        store.commit(removal, answer -> {});
        eligibility.onSteppedDown();
        loseLeadership(why);
    }

    private void checkPeriodically() {
        timers.after(CHECK_INTERVAL_MICROS, this::checkPeriodically);
        if (heldTerm == null) {
            campaignIfEligible();
            return;
        }
        heldTerm.lease().renewIfDue(timers.nowMicros());
        refreshPhase();
    }

    private void campaignIfEligible() {
        if (phase == LeadershipPhase.FOLLOWING) {
            eligibility.reason().ifPresent(this::startCampaign);
        }
    }

    /** Changes the phase, and logs the change; the phase is changed nowhere else. */
    private void transition(LeadershipPhase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canChangeTo(next)) {
            throw new IllegalStateException("leadership phase cannot change from " + phase + " to " + next);
        }
        LOG.info("leadership {} -> {} ({})", phase, next, why);
        phase = next;
    }

    /** {@code FOLLOWING -> CAMPAIGNING}. */
    private void startCampaign(Campaign.Reason reason) {
        transition(LeadershipPhase.CAMPAIGNING, reason.text());
        Campaign.Listener campaignListener = new Campaign.Listener() {
            @Override
            public void onWon(Campaign.WonCampaign campaign) {
                beginTerm(campaign);
            }

            @Override
            public void onAbandoned(String why) {
                abandonCampaign(why);
            }
        };
        new Campaign(config, store, replica, timers, reason, campaignListener).start();
    }

    /** {@code CAMPAIGNING -> FOLLOWING}. */
    private void abandonCampaign(String why) {
        eligibility.onCampaignAbandoned();
        transition(LeadershipPhase.FOLLOWING, why);
    }

    /** {@code CAMPAIGNING -> LEADING}. */
    private void beginTerm(Campaign.WonCampaign campaign) {
        Term term = campaign.term();
        HeldTerm newTerm = new HeldTerm(term, createLease(campaign));
        heldTerm = newTerm;
        // Only after heldTerm is set: onLeaderRecordChanged compares the leader record with it.
        for (Change change : campaign.changes()) {
            replica.applyCommitted(change.key(), change.record(), term.leaderRevision());
        }
        transition(LeadershipPhase.LEADING, "fencing token " + term.fencingToken());
        announceElection(newTerm);
    }

    private LeaderLease createLease(Campaign.WonCampaign campaign) {
        LeaderLease.Listener leaseListener = new LeaderLease.Listener() {
            @Override
            public void onRenewed() {
                refreshPhase();
            }

            @Override
            public void onExpired() {
                loseLeadership("the leader lease expired");
            }
        };
        return new LeaderLease(
                store,
                timers,
                campaign.lease(),
                config.tuning().leaderLeaseMicros(),
                campaign.openedMicros(),
                leaseListener);
    }

    /**
     * Announces the new term once the replica is at least as recent as the write that started it. The store may have
     * applied a late write of the previous leader just before that write, and the term must not miss a part of the
     * machine inventory that was created by it. After that write the store rejects all writes of the previous leader.
     */
    private void announceElection(HeldTerm elected) {
        replica.requestBarrier(fresh -> {
            if (!elected.equals(heldTerm)) {
                return;
            }
            if (fresh) {
                listener.onElected(elected.term());
            } else {
                timers.after(CHECK_INTERVAL_MICROS, () -> announceElection(elected));
            }
        });
    }

    /**
     * Changes the phase among {@code LEADING}, {@code DISCONNECTED} and {@code FENCED_OFF} according to the time since
     * the last contact with the store. This method is called whenever the phase is about to be used, not only by the
     * timer. After a pause of the process, a heartbeat that was waiting may be processed before the timer runs. The
     * phase would then be that from before the pause, although a successor may have taken over the machines since.
     */
    private void refreshPhase() {
        if (heldTerm == null) {
            return;
        }
        long sinceContactMicros = timers.nowMicros() - lastContactMicros(heldTerm.lease());
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
     * Returns the earlier of two times: when the store last confirmed the lease, and when it last answered a read of
     * the records. Confirmation of the lease is not enough, because a cancellation shows only in the records. Renewals
     * may succeed while reads fail, and after an outage the first renewal succeeds before the first read.
     */
    private long lastContactMicros(LeaderLease lease) {
        return Math.min(lease.lastConfirmedMicros(), replica.lastContactMicros());
    }

    /** Ends the current term, in whatever phase it is: changes the phase to {@code FOLLOWING}. */
    private void loseLeadership(String why) {
        if (heldTerm == null) {
            return;
        }
        heldTerm.lease().abandon();
        previousTermConfirmedMicros = heldTerm.lease().lastConfirmedMicros();
        heldTerm = null;
        transition(LeadershipPhase.FOLLOWING, why);
        listener.onLeadershipLost(why);
        campaignIfEligible();
    }
}
