package org.granitepath.coordination.leadership;

import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The lease that the leader key of one term is attached to: renews it, and knows when the store last confirmed it. */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderLease.class);

    /** Told how renewals end, until the lease is released. */
    interface Listener {
        /** The store confirmed the lease. */
        void renewed();

        /** The lease is over. */
        void expired();
    }

    private final KeyValueStore store;
    private final Timers timers;
    private final long lease;
    private final long lifeMicros;
    private final Listener listener;
    private long lastConfirmedMicros;
    private long renewalDueMicros;
    private boolean renewing;
    private boolean released;

    /**
     * @param lease as the store names it
     * @param openedMicros when the request that opened it was sent
     */
    LeaderLease(KeyValueStore store, Timers timers, long lease, long lifeMicros, long openedMicros, Listener listener) {
        this.store = store;
        this.timers = timers;
        this.lease = lease;
        this.lifeMicros = lifeMicros;
        this.listener = listener;
        this.lastConfirmedMicros = openedMicros;
        this.renewalDueMicros = openedMicros + lifeMicros / 3;
    }

    /** When the last request was sent that the store answered with our holding the lease. */
    long lastConfirmedMicros() {
        return lastConfirmedMicros;
    }

    /** Renews the lease if it is time, and no renewal is under way. */
    void renewIfDue(long nowMicros) {
        if (nowMicros >= renewalDueMicros && !renewing) {
            renew();
        }
    }

    /** The term is over: answers that are still to come mean nothing. */
    void release() {
        released = true;
    }

    private void renew() {
        renewing = true;
        long sentMicros = timers.nowMicros();
        renewalDueMicros = sentMicros + lifeMicros / 4;
        store.renewLease(lease, outcome -> {
            if (!released) {
                renewing = false;
                renewalEnded(outcome, sentMicros);
            }
        });
    }

    private void renewalEnded(Outcome outcome, long sentMicros) {
        if (outcome == Outcome.OK) {
            lastConfirmedMicros = sentMicros;
            listener.renewed();
        } else if (outcome == Outcome.NOT_FOUND) {
            listener.expired();
        } else {
            LOG.debug("renewal of lease {}: {}", lease, outcome);
        }
    }
}
