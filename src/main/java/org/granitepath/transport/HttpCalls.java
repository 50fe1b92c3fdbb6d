package org.granitepath.transport;

import java.util.function.Consumer;

/**
 * HTTP client of the event loop. A connection carries one request at a time. Each call ends with a response or, at the
 * latest after its timeout, without one. Calls are started and completed on the event loop.
 */
public final class HttpCalls {
    private final EventLoop loop;
    private final ConnectionPool connections;

    /** Creates a client that uses {@code loop}. */
    public HttpCalls(EventLoop loop) {
        this.loop = loop;
        this.connections = new ConnectionPool(loop);
    }

    /**
     * Sends a request.
     *
     * @param request the request to send
     * @param timeoutMicros the time in microseconds after which the call ends without a response
     * @param callback takes the outcome of the call, exactly once
     */
    public void call(OutgoingRequest request, long timeoutMicros, Consumer<HttpResponse> callback) {
        new HttpCall(loop, connections, request, callback).start(timeoutMicros);
    }
}
