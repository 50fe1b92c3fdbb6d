package org.granitepath.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.granitepath.storage.Timers;

/** Timers on a clock that the test advances. Due actions run in order of their time, then of their registration. */
public final class ManualTimers implements Timers {
    private record Timer(long dueMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Timer> pending =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueMicros).thenComparingLong(Timer::sequence));
    private long nowMicros;
    private long nextSequence;

    /** Creates a clock that starts at 1,000 seconds. */
    public ManualTimers() {
        this(1_000_000_000);
    }

    /** Creates a clock that starts at this time. */
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
        pending.add(new Timer(nowMicros + delayMicros, nextSequence++, action));
    }

    /** Returns whether no action is scheduled. */
    public boolean isIdle() {
        return pending.isEmpty();
    }

    /** Advances the clock by this time and runs all actions that become due. */
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
