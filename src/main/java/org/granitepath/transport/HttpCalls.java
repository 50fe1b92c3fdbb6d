package org.granitepath.transport;

import java.util.function.Consumer;

/**
 * Outgoing HTTP requests, one at a time on a connection; each ends with an answer or, in time, without one. Calls are
 * begun and answered on the event loop.
 */
public final class HttpCalls {
    private final EventLoop loop;
    private final ConnectionPool connections;

    /** Makes calls on this event loop. */
    public HttpCalls(EventLoop loop) {
        this.loop = loop;
        this.connections = new ConnectionPool(loop);
    }

    /**
     * Sends a request.
     *
     * @param timeoutMicros the time from now until the call ends without an answer
     * @param then takes the end of the call, exactly once
     */
    public void call(OutgoingRequest request, long timeoutMicros, Consumer<HttpResponse> then) {
        new HttpCall(loop, connections, request, then).begin(timeoutMicros);
    }
}
