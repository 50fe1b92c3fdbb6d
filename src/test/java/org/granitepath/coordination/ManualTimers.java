package org.granitepath.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.granitepath.storage.Timers;

/** A clock that a test moves by hand; what is due runs in order of time, then of registration. */
public final class ManualTimers implements Timers {
    private record Timer(long dueMicros, long number, Runnable action) {}

    private final PriorityQueue<Timer> pending =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueMicros).thenComparingLong(Timer::number));
    private long nowMicros;
    private long timersSet;

    public ManualTimers() {
        this(1_000_000_000);
    }

    /** A clock that shows this time at first. */
    public ManualTimers(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public long timeOfDayMicros() {
        return nowMicros;
    }

    @Override
    public void after(long delayMicros, Runnable action) {
        pending.add(new Timer(nowMicros + delayMicros, timersSet++, action));
    }

    /** Whether nothing is to happen later. */
    public boolean isIdle() {
        return pending.isEmpty();
    }

    /** Lets so much time pass and runs what becomes due. */
    public void advance(long micros) {
        long untilMicros = nowMicros + micros;
        while (!pending.isEmpty() && pending.peek().dueMicros() <= untilMicros) {
            Timer next = pending.remove();
            nowMicros = next.dueMicros();
            next.action().run();
        }
        nowMicros = untilMicros;
    }
}
