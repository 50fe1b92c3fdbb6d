package org.granitepath.coordination.ports;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Calls to the other controllers. Every call returns at once and passes its result to {@code callback} exactly once,
 * later, on the event loop.
 */
public interface PeerPort {
    /**
     * The status of a controller.
     *
     * @param node the node name of the controller
     * @param storeContactAgeMicros the time since the store last answered a read of the controller, in microseconds;
     *     negative if the controller has not read the records yet
     * @param isLeader whether the controller is the leader
     * @param redirectedMachines the number of machines that recently sent heartbeats to the controller although it is
     *     not their leader
     */
    record PeerStatus(String node, long storeContactAgeMicros, boolean isLeader, int redirectedMachines) {}

    /**
     * A cancellation that is committed to the store.
     *
     * @param job the id of the cancelled job
     * @param revision the revision of the record of the cancellation
     */
    record CancellationNotice(String job, long revision) {}

    /**
     * Sends the notice of a cancellation to a peer. {@code callback} receives whether the peer has applied it.
     * Correctness does not depend on the delivery of the notice.
     */
    void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> callback);

    /**
     * Sends this controller's status to a peer. {@code callback} receives the peer's status, or null without an answer.
     */
    void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<@Nullable PeerStatus> callback);
}
