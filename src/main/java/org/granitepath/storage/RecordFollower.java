package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the changes of records by long polls, unless read barriers bring the changes often enough. */
final class RecordFollower {
    private static final Logger LOG = LoggerFactory.getLogger(RecordFollower.class);
    private static final long LONG_POLL_MICROS = 20_000_000;
    private static final long RETRY_MICROS = 400_000;
    /**
     * If the last barrier started less than this many spacings ago, barriers bring the changes and no long poll is
     * sent.
     */
    private static final int RECENT_BARRIER_SPACINGS = 3;

    private final KeyValueStore store;
    private final Timers timers;
    private final long spacingMicros;
    private final ReplicaPosition position;
    private final ReadBarrier barrier;
    private final Runnable reload;

    /** @param reload called when the store no longer has the next changes */
    RecordFollower(
            KeyValueStore store,
            Timers timers,
            long spacingMicros,
            ReplicaPosition position,
            ReadBarrier barrier,
            Runnable reload) {
        this.store = store;
        this.timers = timers;
        this.spacingMicros = spacingMicros;
        this.position = position;
        this.barrier = barrier;
        this.reload = reload;
    }

    /** Starts to follow the changes, until all records have to be loaded again. */
    void follow() {
        if (!position.isFollowing()) {
            return;
        }
        long sentMicros = timers.nowMicros();
        if (sentMicros - barrier.lastStartMicros() < RECENT_BARRIER_SPACINGS * spacingMicros) {
            timers.after(spacingMicros, this::follow);
            return;
        }
        store.follow(Keys.ROOT_PREFIX, position.storeRevision(), LONG_POLL_MICROS, page -> {
            if (!position.isFollowing()) {
                return;
            }
            if (page.outcome() == Outcome.GONE) {
                LOG.info(
                        "store no longer has the changes after revision {}: reading all records again",
                        position.storeRevision());
                reload.run();
            } else if (page.outcome() == Outcome.OK) {
                position.advance(page, sentMicros);
                timers.after(spacingMicros, this::follow);
            } else {
                timers.after(RETRY_MICROS, this::follow);
            }
        });
    }
}
