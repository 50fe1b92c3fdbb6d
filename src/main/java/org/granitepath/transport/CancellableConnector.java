package org.granitepath.transport;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on the event loop so that the caller can cancel the attempt. An attempt to connect to a machine
 * that is gone stays pending for minutes, and Undertow's client cannot cancel it: calls that timed out long ago would
 * each hold a socket, hundreds of them when a zone is unreachable. Undertow's client is given this object in place of
 * the event loop's thread. It delegates to that thread and keeps a reference to the attempt. It is never started as a
 * thread itself.
 */
final class CancellableConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private @Nullable IoFuture<StreamConnection> latestAttempt;

    CancellableConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the most recent connection attempt; null if there was none. */
    @Nullable
    IoFuture<StreamConnection> latestAttempt() {
        return latestAttempt;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        IoFuture<StreamConnection> attempt = thread.openStreamConnection(destination, listener, options);
        latestAttempt = attempt;
        return attempt;
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
