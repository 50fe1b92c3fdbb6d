package org.granitepath.coordination.leadership;

import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Renews the lease that the leader key of one term is attached to, and tracks when the store last confirmed it. */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderLease.class);

    /** Receives the results of renewals until the lease is abandoned. */
    interface Listener {
        /** The store confirmed the lease. */
        void onRenewed();

        /** The store does not know the lease any more. */
        void onExpired();
    }

    private final KeyValueStore store;
    private final Timers timers;
    private final long lease;
    private final long durationMicros;
    private final Listener listener;
    private long lastConfirmedMicros;
    private long renewalDueMicros;
    private boolean renewing;
    private boolean abandoned;

    /**
     * Creates the renewal of a lease that is open.
     *
     * @param lease the id that the store gave to the lease
     * @param durationMicros how long the lease lasts after it was opened or renewed
     * @param openedMicros when the request that opened the lease was sent
     */
    LeaderLease(
            KeyValueStore store, Timers timers, long lease, long durationMicros, long openedMicros, Listener listener) {
        this.store = store;
        this.timers = timers;
        this.lease = lease;
        this.durationMicros = durationMicros;
        this.listener = listener;
        this.lastConfirmedMicros = openedMicros;
        this.renewalDueMicros = openedMicros + durationMicros / 3;
    }

    /**
     * Returns the time at which the last request was sent whose answer confirmed that this controller holds the lease.
     */
    long lastConfirmedMicros() {
        return lastConfirmedMicros;
    }

    /** Renews the lease if a renewal is due and none is in progress. */
    void renewIfDue(long nowMicros) {
        if (nowMicros >= renewalDueMicros && !renewing) {
            renew();
        }
    }

    /** Ignores all answers to renewals from now on, because the term has ended. The lease itself is left to expire. */
    void abandon() {
        abandoned = true;
    }

    private void renew() {
        renewing = true;
        long sentMicros = timers.nowMicros();
        renewalDueMicros = sentMicros + durationMicros / 4;
        store.renewLease(lease, outcome -> {
            if (!abandoned) {
                renewing = false;
                handleRenewal(outcome, sentMicros);
            }
        });
    }

    private void handleRenewal(Outcome outcome, long sentMicros) {
        if (outcome == Outcome.OK) {
            lastConfirmedMicros = sentMicros;
            listener.onRenewed();
        } else if (outcome == Outcome.NOT_FOUND) {
            listener.onExpired();
        } else {
            LOG.debug("lease {}: renewal ended with {}; trying again", lease, outcome);
        }
    }
}
