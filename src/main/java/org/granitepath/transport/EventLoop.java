package org.granitepath.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.granitepath.storage.Micros;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The single thread that owns all state. All I/O, timers and scheduling decisions run on it one after the other, so
 * none of them needs a lock. Code on the event loop must never block.
 */
public final class EventLoop implements Timers {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** Buffers are allocated outside the heap; deploy/service.toml has a separate limit for that memory. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int BUFFERS_CACHED_BY_THREAD = 4;
    private static final long NANOS_PER_MICRO = 1000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;

    /** Creates the event loop and starts its thread. */
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

    /** Returns the XNIO worker whose only I/O thread is the event loop. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the thread that handles all events. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the buffer pool that all connections share. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Queues an action to run on the event loop after all actions queued before it. Any thread may call this. */
    public void execute(Runnable action) {
        thread.execute(withErrorLogging(action));
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    @Override
    public long timeOfDayMicros() {
        return System.currentTimeMillis() * Micros.PER_MILLI;
    }

    @Override
    public void after(long delayMicros, Runnable action) {
        if (delayMicros <= 0) {
            execute(action);
        } else {
            thread.executeAfter(
                    withErrorLogging(action), Math.max(1, delayMicros / Micros.PER_MILLI), TimeUnit.MILLISECONDS);
        }
    }

    /** Wraps an action so that its exceptions are logged and not thrown: one bad event must not end the event loop. */
    static Runnable withErrorLogging(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                LOG.error("event handler failed; the event loop continues with the next event", e);
            }
        };
    }
}
