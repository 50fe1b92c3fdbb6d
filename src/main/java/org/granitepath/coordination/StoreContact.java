package org.granitepath.coordination;

import org.granitepath.coordination.config.Config;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/** How lately the store has answered this controller. */
final class StoreContact {
    private final RecordReplica replica;
    private final Timers timers;

    StoreContact(RecordReplica replica, Timers timers) {
        this.replica = replica;
        this.timers = timers;
    }

    /** The time since the store last answered a read, in microseconds. */
    long ageMicros() {
        return timers.nowMicros() - replica.lastContactMicros();
    }

    /** Whether the last answer is so recent that the store counts as in contact. */
    boolean isRecent() {
        return ageMicros() < Config.CONTACT_TIMEOUT_MICROS;
    }
}
