package org.granitepath.coordination.leadership;

import java.util.Optional;
import org.granitepath.coordination.config.Config;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/**
 * Whether this controller may stand for leader now: the records are read, they name no leader that may live, and no
 * backoff from an earlier campaign or term is left.
 */
final class CampaignEligibility {
    /** Long enough for the others to campaign first. */
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

    /** Why a campaign may begin now; empty when it may not. */
    Optional<Campaign.Reason> reason() {
        if (!replica.loaded() || timers.nowMicros() < backoffUntilMicros) {
            return Optional.empty();
        }
        LeaderRecord leader = replica.leader();
        if (leader == null) {
            return Optional.of(Campaign.Reason.NO_LEADER);
        }
        return isFormerSelf(leader) ? Optional.of(Campaign.Reason.RESTARTED) : Optional.empty();
    }

    /** A leader of our own name and another incarnation is our former process, and that has ended. */
    private boolean isFormerSelf(LeaderRecord leader) {
        return config.node().equals(leader.node())
                && !config.identity().incarnation().equals(leader.incarnation());
    }

    /** This controller gave up its term because another can do better. */
    void steppedDown() {
        backOff(BACKOFF_AFTER_STEPPING_DOWN_MICROS);
    }

    /** A campaign won nothing. */
    void campaignAbandoned() {
        backOff(config.tuning().leaderLeaseMicros() / 10);
    }

    private void backOff(long micros) {
        backoffUntilMicros = timers.nowMicros() + micros;
    }
}
