package org.granitepath.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.granitepath.storage.Micros;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/** One HTTP call. It ends with a response, a failure or a timeout, whichever comes first. */
final class HttpCall {
    /** Logs under the name of {@link HttpCalls}, by which operators identify these log lines. */
    private static final Logger LOG = LoggerFactory.getLogger(HttpCalls.class);

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final OutgoingRequest request;
    private final Consumer<HttpResponse> callback;
    private @Nullable IoFuture<StreamConnection> connectionAttempt;
    private @Nullable ClientConnection connection;
    private XnioExecutor.@Nullable Key timeout;
    private boolean ended;

    /**
     * Creates a call.
     *
     * @param callback takes the outcome of the call, exactly once, on the event loop
     */
    HttpCall(EventLoop loop, ConnectionPool connections, OutgoingRequest request, Consumer<HttpResponse> callback) {
        this.loop = loop;
        this.connections = connections;
        this.request = request;
        this.callback = callback;
    }

    /** Starts the call. It ends without a response if none arrives within {@code timeoutMicros}. */
    void start(long timeoutMicros) {
        timeout = loop.thread()
                .executeAfter(
                        EventLoop.withErrorLogging(() -> fail("timed out")),
                        timeoutMicros / Micros.PER_MILLI,
                        TimeUnit.MILLISECONDS);
        ClientConnection idle = request.usesPooledConnection() ? connections.takeIdle(request.address()) : null;
        if (idle != null) {
            send(idle);
        } else {
            connectionAttempt = connections.open(request.address(), failCallOnError(this::onConnected));
        }
    }

    private void onConnected(ClientConnection opened) {
        if (ended) {
            IoUtils.safeClose(opened);
        } else {
            send(opened);
        }
    }

    private void send(ClientConnection open) {
        connection = open;
        open.sendRequest(request.toClientRequest(), failCallOnError(this::onRequestSent));
    }

    /** Sends the body after the head of the request. From now on, the response may arrive. */
    private void onRequestSent(ClientExchange exchange) {
        exchange.setResponseListener(failCallOnError(this::readResponse));
        byte[] body = request.body();
        if (body != null) {
            new RequestBodyWriter(body).start(exchange.getRequestChannel());
        }
    }

    private void readResponse(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        new ResponseBodyReader(loop.buffers(), body -> succeed(status, body), this::fail)
                .start(exchange.getResponseChannel());
    }

    private void succeed(int status, byte[] body) {
        if (ended) {
            return;
        }
        end();
        releaseConnection();
        deliver(HttpResponse.of(status, body));
    }

    private void fail(IOException cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String why) {
        if (ended) {
            return;
        }
        end();
        LOG.debug("{}: call failed: {}", request, why);
        IoUtils.safeClose(connection);
        if (connectionAttempt != null) {
            connectionAttempt.cancel();
        }
        deliver(HttpResponse.NONE);
    }

    private void end() {
        ended = true;
        if (timeout != null) {
            timeout.remove();
        }
    }

    private void releaseConnection() {
        ClientConnection used = connection;
        if (request.usesPooledConnection() && used != null && used.isOpen()) {
            // The connection can carry the next request only after Undertow's client has closed this exchange.
            loop.execute(() -> connections.keepIdle(request.address(), used));
        } else {
            IoUtils.safeClose(used);
        }
    }

    private void deliver(HttpResponse response) {
        EventLoop.withErrorLogging(() -> callback.accept(response)).run();
    }

    /** Returns a callback that runs {@code next}; an I/O error fails the call. */
    private <T> ClientCallback<T> failCallOnError(Consumer<T> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                next.accept(result);
            }

            @Override
            public void failed(IOException cause) {
                fail(cause);
            }
        };
    }
}
