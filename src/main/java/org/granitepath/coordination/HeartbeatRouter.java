package org.granitepath.coordination;

import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.leadership.ZoneLeaseKeeper;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.Timers;

/**
 * Routes a worker's heartbeat to whatever answers it: the current term of this controller, its zone lease keeper, or
 * the leader on another controller.
 */
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
     * Creates a router.
     *
     * @param node the name of this controller
     * @param redirectedMachines records the machines whose heartbeats this controller did not accept
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

    /** Returns the response to a worker's heartbeat. */
    HeartbeatResponse route(Heartbeat heartbeat) {
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
     * Redirects the worker to the leader only if this controller has recent contact with the store or with the leader.
     * A leader that this controller cannot reach is probably out of reach of the machines around it as well, and a
     * redirect there would only delay their workers.
     */
    private HeartbeatResponse redirectToLeader() {
        String leader = leadership.leaderNode();
        boolean leaderIsReachable = storeContact.isRecent() || peers.hasRecentLeaderStatus();
        return leaderIsReachable && leader != null && !leader.equals(node)
                ? new HeartbeatResponse.Redirect(leader)
                : new HeartbeatResponse.Unavailable();
    }
}
