package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** An {@link HttpListener} on 127.0.0.1, on a port chosen by the system, with an event loop of its own. */
final class ListenerFixture implements AutoCloseable {
    private static final int BACKLOG = 16;

    final EventLoop loop = new EventLoop();
    private final Undertow listener;

    ListenerFixture(Consumer<HttpServerExchange> handler) throws IOException {
        listener = HttpListener.listen(loop, new Address("127.0.0.1", 0), BACKLOG, handler);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getListenerInfo().get(0).getAddress();
    }

    void stopListening() {
        listener.stop();
    }

    @Override
    public void close() {
        stopListening();
        loop.worker().shutdown();
    }
}
