package org.granitepath.coordination.leadership;

import java.util.Optional;
import org.granitepath.coordination.config.Config;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/**
 * Decides whether this controller may campaign now: the records are read, they name no leader that may still be
 * running, and no backoff from an earlier campaign or term is in effect.
 */
final class CampaignEligibility {
    /** Long enough for the other controllers to campaign first. */
    private static final long BACKOFF_AFTER_STEPPING_DOWN_MICROS = 15_000_000;

    private final Config config;
    private final RecordReplica replica;
    private final Timers timers;
    private long backoffUntilMicros;

    CampaignEligibility(Config config, RecordReplica replica, Timers timers) {
        this.config = config;
        this.replica = replica;
        this.timers = timers;
    }

    /** Returns why a campaign may start now, or empty if none may. */
    Optional<Campaign.Reason> reason() {
        if (!replica.isLoaded() || timers.nowMicros() < backoffUntilMicros) {
            return Optional.empty();
        }
        LeaderRecord leader = replica.leader();
        if (leader == null) {
            return Optional.of(Campaign.Reason.NO_LEADER);
        }
        return isPreviousProcess(leader) ? Optional.of(Campaign.Reason.RESTARTED) : Optional.empty();
    }

    /**
     * Returns whether the leader on record is an earlier process of this controller. It has the same node name and
     * another incarnation, and it has ended, since this process runs in its place.
     */
    private boolean isPreviousProcess(LeaderRecord leader) {
        return config.node().equals(leader.node())
                && !config.identity().incarnation().equals(leader.incarnation());
    }

    /** Starts the backoff after this controller gave up its term in favour of another controller. */
    void onSteppedDown() {
        backOff(BACKOFF_AFTER_STEPPING_DOWN_MICROS);
    }

    /** Starts the backoff after a campaign that was abandoned. */
    void onCampaignAbandoned() {
        backOff(config.tuning().leaderLeaseMicros() / 10);
    }

    private void backOff(long micros) {
        backoffUntilMicros = timers.nowMicros() + micros;
    }
}
