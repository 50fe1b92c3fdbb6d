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
 * Opens connections on the event loop in a way that can be given up. An attempt to reach a machine that is gone stays
 * under way for minutes, and Undertow's client has no means to end it: calls that have long timed out would hold a
 * socket each, by the hundred when a zone is cut off. The client asks this stand-in of the event loop's thread to
 * connect, which keeps hold of the attempt; it is never started as a thread itself.
 */
final class CancellableConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private @Nullable IoFuture<StreamConnection> latest;

    CancellableConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** The attempt that was begun last; null: none was. */
    @Nullable
    IoFuture<StreamConnection> latestAttempt() {
        return latest;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        IoFuture<StreamConnection> attempt = thread.openStreamConnection(destination, listener, options);
        latest = attempt;
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
