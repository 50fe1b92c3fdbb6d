package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the changes of records by long polls, while read barriers do not bring them often enough. */
final class RecordFollower {
    private static final Logger LOG = LoggerFactory.getLogger(RecordFollower.class);
    private static final long LONG_POLL_MICROS = 20_000_000;
    private static final long RETRY_MICROS = 400_000;
    /**
     * While barriers follow one another faster than this many spacings, they bring the changes and no long poll
     * waits.
     */
    private static final int BARRIERS_SUFFICE = 3;

    private final KeyValueStore store;
    private final Timers timers;
    private final long spacingMicros;
    private final ReplicaPosition position;
    private final ReadBarrier barrier;
    private final Runnable reload;

    /** @param reload called when the store no longer has the changes that are next */
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

    /** Begins to follow, until a reload is needed. */
    void follow() {
        if (!position.following()) {
            return;
        }
        long sentMicros = timers.nowMicros();
        if (sentMicros - barrier.lastBegunMicros() < BARRIERS_SUFFICE * spacingMicros) {
            timers.after(spacingMicros, this::follow);
            return;
        }
        store.follow(Keys.ROOT_PREFIX, position.storeRevision(), LONG_POLL_MICROS, page -> {
            if (!position.following()) {
                return;
            }
            if (page.outcome() == Outcome.GONE) {
                LOG.info(
                        "the store no longer has the changes since {}: reading all records again",
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
