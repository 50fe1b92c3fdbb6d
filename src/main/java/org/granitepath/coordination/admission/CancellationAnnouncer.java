package org.granitepath.coordination.admission;

import org.granitepath.coordination.ports.PeerPort;

/** Notifies the other controllers of cancellations, because the leader may be unable to read them from the store. */
public interface CancellationAnnouncer {
    /**
     * Announces a cancellation that is on record. Runs {@code onConfirmed} once no task of the job will be started any
     * more.
     */
    void announce(PeerPort.CancellationNotice notice, Runnable onConfirmed);
}
