package org.granitepath.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The one thread that owns all state: all I/O, timers and decisions run on it one after the other, so that none of them
 * needs a lock. It must never wait.
 */
public final class EventLoop implements Timers {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** Buffers are outside the heap, for which deploy/service.toml sets a bound of its own. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int BUFFERS_CACHED_BY_THREAD = 4;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long MICROS_PER_MILLI = 1000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;

    /** Starts the loop's thread. */
    public EventLoop() throws IOException {
        worker = Xnio.getInstance("nio", EventLoop.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        thread = worker.getIoThread();
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_CACHED_BY_THREAD);
    }

    /** The XNIO worker whose only I/O thread is the loop. */
    public XnioWorker worker() {
        return worker;
    }

    /** The thread on which all events are handled. */
    public XnioIoThread thread() {
        return thread;
    }

    /** The buffers of all connections. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Runs on the event loop, soon, after what was handed over before. May be called on any thread. */
    public void execute(Runnable action) {
        thread.execute(guarded(action));
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    @Override
    public long timeOfDayMicros() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    @Override
    public void after(long delayMicros, Runnable action) {
        if (delayMicros <= 0) {
            execute(action);
        } else {
            thread.executeAfter(guarded(action), Math.max(1, delayMicros / MICROS_PER_MILLI), TimeUnit.MILLISECONDS);
        }
    }

    /** The action, of which a failure is logged and goes no further: one bad event must not end the loop. */
    static Runnable guarded(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                LOG.error("an event could not be handled", e);
            }
        };
    }
}
