package org.granitepath.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * Brings the replica up to date on request. A barrier is a follow begun after the question arrived: whatever any
 * controller committed before is in the replica when it ends. Questions that come while one is under way share the
 * next.
 */
final class ReadBarrier {
    private final KeyValueStore store;
    private final Timers timers;
    private final long spacingMicros;
    private final ReplicaPosition position;
    private boolean running;
    private boolean scheduled;
    private long lastBegunMicros = Long.MIN_VALUE / 2;
    private List<Consumer<Boolean>> waiting = new ArrayList<>();

    /** @param spacingMicros least time between the beginnings of two barriers */
    ReadBarrier(KeyValueStore store, Timers timers, long spacingMicros, ReplicaPosition position) {
        this.store = store;
        this.timers = timers;
        this.spacingMicros = spacingMicros;
        this.position = position;
    }

    /** When the last barrier began; long ago when there was none. */
    long lastBegunMicros() {
        return lastBegunMicros;
    }

    /** Calls back with true once the replica is as new as this moment, false when that can't be had now. */
    void request(Consumer<Boolean> then) {
        if (!position.following()) {
            then.accept(false);
            return;
        }
        waiting.add(then);
        beginIfDue();
    }

    private void beginIfDue() {
        if (running || scheduled || waiting.isEmpty()) {
            return;
        }
        long dueMicros = lastBegunMicros + spacingMicros;
        long nowMicros = timers.nowMicros();
        if (dueMicros > nowMicros) {
            scheduled = true;
            timers.after(dueMicros - nowMicros, () -> {
                scheduled = false;
                beginIfDue();
            });
            return;
        }
        begin(nowMicros);
    }

    private void begin(long nowMicros) {
        running = true;
        lastBegunMicros = nowMicros;
        List<Consumer<Boolean>> served = waiting;
        waiting = new ArrayList<>();
        store.follow(Keys.ROOT_PREFIX, position.storeRevision(), 0, page -> {
            boolean fresh = page.outcome() == Outcome.OK && position.following();
            if (fresh) {
                position.advance(page, nowMicros);
            }
            running = false;
            for (Consumer<Boolean> then : served) {
                then.accept(fresh);
            }
            beginIfDue();
        });
    }
}
