package org.granitepath.coordination.ports;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** What controllers tell one another. Every call answers once, later, on the event loop. */
public interface PeerPort {
    /**
     * How a controller is.
     *
     * @param storeContactAgeMicros how long ago the store last brought this controller up to date; negative: never
     * @param redirectedMachines how many machines lately sent heartbeats to this controller although it does not own
     *     them
     */
    record PeerStatus(String node, long storeContactAgeMicros, boolean isLeader, int redirectedMachines) {}

    /** A cancellation that is on record, with the revision of its record. */
    record CancellationNotice(String job, long revision) {}

    /** Tells a peer of it; answered with whether it has taken that in. No rule rests on its arrival. */
    void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then);

    /** Tells a peer how we are; answered with how it is, or null. */
    void exchangeStatus(String peer, PeerStatus ours, Consumer<@Nullable PeerStatus> then);
}
