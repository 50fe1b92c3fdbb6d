package org.granitepath.coordination.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
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
    private static final long BACKOFF_AFTER_STEPPING_DOWN_MICROS = 15_000_000;

    /**
     * {@code DISCONNECTED}: lately no word from the store, or only about our lease and not about the records; workers
     * are still answered, since an outage looks the same. {@code FENCED_OFF}: for so long that a cancellation might be
     * missed; workers are left to their leases.
     */
    enum Phase {
        FOLLOWING,
        CAMPAIGNING,
        LEADING,
        DISCONNECTED,
        FENCED_OFF
    }

    /** What a won campaign brings: the fencing token, and the guard for all later writes. */
    public record Term(long fencingToken, long leaderRevision) {}

    /** Told when this controller begins and ceases to lead. */
    public interface Listener {
        /** This controller leads, and its replica is as new as the write that made it so. */
        void elected(Term term);

        /** This controller leads no more. */
        void leadershipLost(String why);
    }

    private final Config config;
    private final KeyValueStore store;
    private final RecordReplica replica;
    private final Timers timers;
    private final Listener listener;
    private final BooleanSupplier peersDisconnected;
    private Phase phase = Phase.FOLLOWING;
    private long lease;
    private Term term;
    private long lastConfirmedMicros;
    private boolean renewing;
    private long renewDueMicros;
    private long campaignBackoffUntilMicros;

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
    }

    /** Begins to campaign whenever there is no leader. */
    public void start() {
        timers.after(CHECK_MICROS, this::tick);
    }

    /** Whether a campaign was won and the term is not known to be over. */
    public boolean leads() {
        return term != null;
    }

    /** The fencing token of our term, or 0. */
    public long fencingToken() {
        return term == null ? 0 : term.fencingToken();
    }

    /** Whether workers may be answered: we lead, and could not have missed a cancellation for too long. */
    public boolean answersWorkers() {
        refreshPhase();
        return phase == Phase.LEADING || phase == Phase.DISCONNECTED;
    }

    /** Whether the store confirmed lately that we lead. */
    public boolean leaseConfirmed() {
        refreshPhase();
        return phase == Phase.LEADING;
    }

    /**
     * Whether a task may be started: a cancellation that some controller has confirmed must not have escaped us. Out
     * of contact we can't tell that from an outage, unless all others say that they are out of contact as well: then
     * none of them can have confirmed one.
     */
    public boolean mayStart() {
        return leaseConfirmed() || (phase == Phase.DISCONNECTED && peersDisconnected.getAsBoolean());
    }

    /** When the last request was sent that the store answered with our being the leader. */
    public long lastConfirmedMicros() {
        return lastConfirmedMicros;
    }

    /** The leader on record, or null. */
    public String leaderNode() {
        LeaderRecord leader = replica.leader();
        return leader == null ? null : leader.node();
    }

    private void transition(Phase next, String why) {
        if (phase != next) {
            LOG.info("leadership {} -> {} ({})", phase, next, why);
            phase = next;
        }
    }

    /** The leader record changed. */
    public void leaderChanged() {
        LeaderRecord leader = replica.leader();
        if (term != null) {
            boolean mine = leader != null
                    && config.identity().incarnation().equals(leader.incarnation())
                    && leader.fencingToken() == term.fencingToken();
            if (!mine && replica.revision(Keys.LEADER) != term.leaderRevision()) {
                loseLeadership(leader == null ? "our lease ran out" : "taken over by " + leader.node());
            }
        } else if (leader == null && phase == Phase.FOLLOWING) {
            considerCampaign();
        }
    }

    private void tick() {
        timers.after(CHECK_MICROS, this::tick);
        long now = timers.nowMicros();
        if (term == null) {
            considerCampaign();
            return;
        }
        if (now >= renewDueMicros && !renewing) {
            renew();
        }
        refreshPhase();
    }

    /**
     * Checks the phase against the time that has passed. A process that stood still goes on with whatever came first,
     * a heartbeat that waited or a timer, in the phase from before its pause, while a successor may hold the machines.
     * The time counts from the older of two words: that the lease is ours, and that the records were read. A
     * cancellation shows in the records alone, and renewals may get through while reads don't; when an outage ends the
     * first renewal comes before the first read.
     */
    private void refreshPhase() {
        if (term == null) {
            return;
        }
        long sinceContactMicros = timers.nowMicros() - Math.min(lastConfirmedMicros, replica.lastContactMicros());
        if (sinceContactMicros
                <= Math.min(
                        config.tuning().leaderLeaseMicros(), config.workers().maxDisconnectedMicros())) {
            transition(Phase.LEADING, "the state service answers");
        } else if (sinceContactMicros <= config.workers().maxDisconnectedMicros()) {
            transition(Phase.DISCONNECTED, "no answer from the state service");
        } else {
            transition(Phase.FENCED_OFF, "a cancellation could have been missed for too long");
        }
    }

    private void considerCampaign() {
        if (phase != Phase.FOLLOWING || !replica.loaded() || timers.nowMicros() < campaignBackoffUntilMicros) {
            return;
        }
        LeaderRecord leader = replica.leader();
        // A leader of our own name and another incarnation is our former process, and that has ended.
        boolean formerSelf = leader != null
                && config.node().equals(leader.node())
                && !config.identity().incarnation().equals(leader.incarnation());
        if (leader == null || formerSelf) {
            campaign(formerSelf);
        }
    }

    private void campaign(boolean formerSelf) {
        transition(Phase.CAMPAIGNING, formerSelf ? "we led before our restart" : "no leader on record");
        long began = timers.nowMicros();
        store.openLease(config.tuning().leaderLeaseMicros(), leased -> {
            if (leased.outcome() != Outcome.OK) {
                abandonCampaign("no lease to be had");
                return;
            }
            // The record as it is now: another may have won meanwhile.
            replica.barrier(fresh -> {
                LeaderRecord leader = replica.leader();
                boolean free = leader == null || (formerSelf && config.node().equals(leader.node()));
                if (!fresh || !free) {
                    abandonCampaign(fresh ? "another was faster" : "can't read the records");
                } else {
                    acquire(leased.lease(), began);
                }
            });
        });
    }

    private void acquire(long acquiredLease, long began) {
        FencingTokenRecord counter = replica.fencingToken();
        long fencingToken = (counter == null ? 0 : counter.last()) + 1;
        List<Precondition> preconditions = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        LeaderRecord leader = new LeaderRecord(config.node(), config.identity().incarnation(), fencingToken);
        changes.add(new Change(Keys.LEADER, leader, acquiredLease));
        changes.add(
                Change.write(Keys.FENCING_TOKEN, new FencingTokenRecord(config.node(), fencingToken, fencingToken)));
        for (Change change : changes) {
            preconditions.add(new Precondition(change.key(), replica.revision(change.key())));
        }
        store.commit(new Transaction(preconditions, changes), answer -> {
            if (answer.outcome() != Outcome.OK) {
                // If it is carried out all the same, nobody renews the lease and the key goes with it.
                abandonCampaign("takeover " + answer.outcome());
                return;
            }
            lease = acquiredLease;
            term = new Term(fencingToken, answer.storeRevision());
            lastConfirmedMicros = began;
            renewDueMicros = began + config.tuning().leaderLeaseMicros() / 3;
            renewing = false;
            for (Change change : changes) {
                replica.applied(change.key(), change.record(), answer.storeRevision());
            }
            transition(Phase.LEADING, "fencing token " + fencingToken);
            takeOver(term);
        });
    }

    /**
     * The term begins once the replica is as new as the write that began it: a late write of the former leader may
     * have gone in just before ours, and a machine inventory begun by it must not be overlooked. After ours none of
     * its writes can.
     */
    private void takeOver(Term ours) {
        replica.barrier(fresh -> {
            if (!ours.equals(term)) {
                return;
            }
            if (fresh) {
                listener.elected(ours);
            } else {
                timers.after(CHECK_MICROS, () -> takeOver(ours));
            }
        });
    }

    private void abandonCampaign(String why) {
        campaignBackoffUntilMicros = timers.nowMicros() + config.tuning().leaderLeaseMicros() / 10;
        transition(Phase.FOLLOWING, why);
    }

    private void renew() {
        renewing = true;
        Term ours = term;
        long sent = timers.nowMicros();
        renewDueMicros = sent + config.tuning().leaderLeaseMicros() / 4;
        store.renewLease(lease, outcome -> {
            if (!ours.equals(term)) {
                return;
            }
            renewing = false;
            if (outcome == Outcome.OK) {
                lastConfirmedMicros = sent;
                refreshPhase();
            } else if (outcome == Outcome.NOT_FOUND) {
                loseLeadership("our lease ran out");
            } else {
                LOG.debug("renewal of lease {}: {}", lease, outcome);
            }
        });
    }

    /** Hands the machines over: another can do better. */
    public void stepDown(String why) {
        if (term == null) {
            return;
        }
        // Should this be lost, the lease runs out by itself.
        store.commit(
                new Transaction(
                        List.of(new Precondition(Keys.LEADER, term.leaderRevision())),
                        List.of(Change.remove(Keys.LEADER))),
                answer -> {});
        campaignBackoffUntilMicros = timers.nowMicros() + BACKOFF_AFTER_STEPPING_DOWN_MICROS;
        loseLeadership(why);
    }

    private void loseLeadership(String why) {
        if (term != null) {
            term = null;
            transition(Phase.FOLLOWING, why);
            listener.leadershipLost(why);
            considerCampaign();
        }
    }
}
