package org.granitepath.coordination;

import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.leadership.ZoneLeaseKeeper;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.Timers;

/** Decides who answers a worker's heartbeat: the present term, the zone lease keeper, or the leader elsewhere. */
final class HeartbeatRouter {
    private final String node;
    private final CurrentTerm currentTerm;
    private final Leadership leadership;
    private final ZoneLeaseKeeper zoneLeaseKeeper;
    private final RedirectedMachines redirectedMachines;
    private final StoreContact storeContact;
    private final Peers peers;
    private final Timers timers;

    /**
     * Answers nobody before it is asked.
     *
     * @param node the name of this controller
     * @param redirectedMachines notes the machines that were not answered here
     */
    HeartbeatRouter(
            String node,
            CurrentTerm currentTerm,
            Leadership leadership,
            ZoneLeaseKeeper zoneLeaseKeeper,
            RedirectedMachines redirectedMachines,
            StoreContact storeContact,
            Peers peers,
            Timers timers) {
        this.node = node;
        this.currentTerm = currentTerm;
        this.leadership = leadership;
        this.zoneLeaseKeeper = zoneLeaseKeeper;
        this.redirectedMachines = redirectedMachines;
        this.storeContact = storeContact;
        this.peers = peers;
        this.timers = timers;
    }

    /** The answer to a worker's heartbeat. */
    HeartbeatResponse answer(Heartbeat heartbeat) {
        LeaderTerm leaderTerm = currentTerm.get();
        if (leaderTerm != null) {
            return leadership.canAnswerWorkers()
                    ? leaderTerm.handleHeartbeat(heartbeat)
                    : new HeartbeatResponse.Unavailable();
        }
        if (zoneLeaseKeeper.canRenew(heartbeat)) {
            return zoneLeaseKeeper.answer(heartbeat);
        }
        redirectedMachines.add(heartbeat.machineId(), timers.nowMicros());
        return redirectToLeader();
    }

    /**
     * A leader that is cut from us is cut from the machines around us as well: going there would cost them time.
     */
    private HeartbeatResponse redirectToLeader() {
        String leader = leadership.leaderNode();
        boolean leaderIsReachable = storeContact.isRecent() || peers.hasRecentLeaderStatus();
        return leaderIsReachable && leader != null && !leader.equals(node)
                ? new HeartbeatResponse.Redirect(leader)
                : new HeartbeatResponse.Unavailable();
    }
}
