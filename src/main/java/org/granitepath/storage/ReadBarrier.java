package org.granitepath.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * Brings the replica up to date on request. A barrier is a read of the changes that begins after the request arrived:
 * when it ends, the replica includes everything that any controller committed before the request. Requests that arrive
 * during a barrier share the next one.
 */
final class ReadBarrier {
    private final KeyValueStore store;
    private final Timers timers;
    private final long spacingMicros;
    private final ReplicaPosition position;
    private boolean running;
    private boolean scheduled;
    private long lastStartMicros = Long.MIN_VALUE / 2;
    private List<Consumer<Boolean>> waitingCallbacks = new ArrayList<>();

    /** @param spacingMicros the shortest time between the starts of two barriers */
    ReadBarrier(KeyValueStore store, Timers timers, long spacingMicros, ReplicaPosition position) {
        this.store = store;
        this.timers = timers;
        this.spacingMicros = spacingMicros;
        this.position = position;
    }

    /** Returns when the last barrier started; a time in the distant past if there was none. */
    long lastStartMicros() {
        return lastStartMicros;
    }

    /**
     * Calls back with true once the replica includes everything committed before this call, or with false if that
     * cannot be reached now.
     */
    void request(Consumer<Boolean> callback) {
        if (!position.isFollowing()) {
            callback.accept(false);
            return;
        }
        waitingCallbacks.add(callback);
        startIfDue();
    }

    private void startIfDue() {
        if (running || scheduled || waitingCallbacks.isEmpty()) {
            return;
        }
        long dueMicros = lastStartMicros + spacingMicros;
        long nowMicros = timers.nowMicros();
        if (dueMicros > nowMicros) {
            scheduled = true;
            timers.after(dueMicros - nowMicros, () -> {
                scheduled = false;
                startIfDue();
            });
            return;
        }
        start(nowMicros);
    }

    private void start(long nowMicros) {
        running = true;
        lastStartMicros = nowMicros;
        List<Consumer<Boolean>> barrierCallbacks = waitingCallbacks;
        waitingCallbacks = new ArrayList<>();
        store.follow(Keys.ROOT_PREFIX, position.storeRevision(), 0, page -> {
            boolean upToDate = page.outcome() == Outcome.OK && position.isFollowing();
            if (upToDate) {
                position.advance(page, nowMicros);
            }
            running = false;
            for (Consumer<Boolean> callback : barrierCallbacks) {
                callback.accept(upToDate);
            }
            startIfDue();
        });
    }
}
