package org.granitepath.coordination;

import org.granitepath.coordination.config.Config;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/** The time since the store last answered this controller. */
final class StoreContact {
    private final RecordReplica replica;
    private final Timers timers;

    StoreContact(RecordReplica replica, Timers timers) {
        this.replica = replica;
        this.timers = timers;
    }

    /** Returns the time since the store last answered a read, in microseconds. */
    long ageMicros() {
        return timers.nowMicros() - replica.lastContactMicros();
    }

    /** Returns whether the last answer is more recent than {@link Config#CONTACT_TIMEOUT_MICROS}. */
    boolean isRecent() {
        return ageMicros() < Config.CONTACT_TIMEOUT_MICROS;
    }
}
