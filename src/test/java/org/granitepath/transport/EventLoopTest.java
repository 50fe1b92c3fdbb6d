package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The order of events, on which the decision code relies instead of locks. */
class EventLoopTest {
    /** Bounds the wait for an event that never runs. */
    private static final int TIMEOUT_SECONDS = 30;

    private EventLoop loop;
    /** Accessed only on the event loop until the event that ends the test. */
    private final List<String> events = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop();
    }

    @AfterEach
    void stop() {
        loop.worker().shutdown();
    }

    /** Runs the set-up on the event loop and returns the events up to the one that completes the future. */
    private List<String> eventsOf(Consumer<CompletableFuture<Void>> setUp) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        loop.execute(() -> setUp.accept(ended));
        ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return events;
    }

    private Runnable event(String name) {
        return () -> events.add(name);
    }

    private static Runnable end(CompletableFuture<Void> ended) {
        return () -> ended.complete(null);
    }

    @Test
    void actionsRunInTheOrderInWhichTheyWereQueued() throws Exception {
        List<String> ran = eventsOf(ended -> {
            loop.execute(event("first"));
            loop.execute(event("second"));
            loop.execute(end(ended));
        });
        assertEquals(List.of("first", "second"), ran);
    }

    @Test
    void actionEndsBeforeTheActionsThatItQueues() throws Exception {
        List<String> ran = eventsOf(ended -> {
            loop.execute(event("handed over"));
            events.add("end of the action");
            loop.execute(end(ended));
        });
        assertEquals(List.of("end of the action", "handed over"), ran);
    }

    @Test
    void timersWithoutDelayRunInQueueOrder() throws Exception {
        List<String> ran = eventsOf(ended -> {
            loop.execute(event("before"));
            loop.after(0, event("timer"));
            loop.after(-1, event("late timer"));
            loop.execute(event("after"));
            loop.execute(end(ended));
        });
        assertEquals(List.of("before", "timer", "late timer", "after"), ran);
    }

    @Test
    void timersRunInOrderOfTheirDelays() throws Exception {
        List<String> ran = eventsOf(ended -> {
            loop.after(60_000, end(ended));
            loop.after(40_000, event("later"));
            loop.after(20_000, event("sooner"));
        });
        assertEquals(List.of("sooner", "later"), ran);
    }

    @Test
    void timerRunsNoEarlierThanItsDelayInWholeMillis() throws Exception {
        CompletableFuture<Long> waitedMicros = new CompletableFuture<>();
        long startMicros = loop.nowMicros();
        loop.after(20_000, () -> waitedMicros.complete(loop.nowMicros() - startMicros));
        long waited = waitedMicros.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(waited >= 20_000, waited + " us");
    }

    @Test
    void failedActionDoesNotStopTheLoop() throws Exception {
        List<String> ran = eventsOf(ended -> {
            loop.execute(() -> {
                events.add("began");
                throw new IllegalStateException("on purpose");
            });
            loop.execute(event("next"));
            loop.after(1_000, () -> {
                throw new IllegalStateException("on purpose");
            });
            loop.after(20_000, event("next timer"));
            loop.after(40_000, end(ended));
        });
        assertEquals(List.of("began", "next", "next timer"), ran);
    }

    @Test
    void actionsAndTimersRunOnTheLoopThread() throws Exception {
        CompletableFuture<Thread> actionThread = new CompletableFuture<>();
        CompletableFuture<Thread> timerThread = new CompletableFuture<>();
        loop.execute(() -> actionThread.complete(Thread.currentThread()));
        loop.after(1_000, () -> timerThread.complete(Thread.currentThread()));
        assertSame(loop.thread(), actionThread.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertSame(loop.thread(), timerThread.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
