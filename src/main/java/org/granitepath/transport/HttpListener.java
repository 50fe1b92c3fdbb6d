package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;
import org.xnio.Options;

/** Opens the listening sockets of a controller, with the same size and time limits for all clients. */
final class HttpListener {
    private static final long MAX_BODY_BYTES = 64 * 1024;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    /**
     * A machine that is gone does not close its connections, so the server closes connections that are idle for longer
     * than any lease or polling interval.
     */
    private static final int IDLE_TIMEOUT_MILLIS = 40_000;

    private HttpListener() {}

    /**
     * Opens a listening socket. Requests are handled on the event loop. If a handler fails, the error is logged, its
     * request is answered with 500 and other requests are not affected.
     *
     * @param backlog the maximum number of connections that wait to be accepted
     * @param handler handles each request
     */
    static Undertow listen(EventLoop loop, Address address, int backlog, Consumer<HttpServerExchange> handler) {
        Undertow server = Undertow.builder()
                .setWorker(loop.worker())
                .setByteBufferPool(loop.buffers())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setSocketOption(Options.BACKLOG, backlog)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .addHttpListener(address.port(), address.host())
                .setHandler(exchange -> RequestDispatcher.start(exchange, () -> handler.accept(exchange)))
                .build();
        server.start();
        return server;
    }
}
