package org.granitepath.coordination.admission;

import org.granitepath.coordination.ports.PeerPort;

/** Tells the other controllers of cancellations, since the leader may be unable to read them from the store. */
public interface CancellationAnnouncer {
    /** Announces a cancellation that is on record; runs {@code then} once no task of the job is started any more. */
    void announce(PeerPort.CancellationNotice notice, Runnable then);
}
