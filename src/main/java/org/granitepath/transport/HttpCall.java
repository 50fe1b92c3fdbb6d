package org.granitepath.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/** One call, from its beginning to its end: an answer, a failure or a timeout, whichever comes first. */
final class HttpCall {
    /** Named after the class that others call: operators know these lines by its name. */
    private static final Logger LOG = LoggerFactory.getLogger(HttpCalls.class);

    private static final long MICROS_PER_MILLI = 1000;

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final OutgoingRequest request;
    private final Consumer<HttpResponse> then;
    private @Nullable IoFuture<StreamConnection> connecting;
    private @Nullable ClientConnection connection;
    private XnioExecutor.@Nullable Key deadline;
    private boolean ended;

    /** @param then takes the end of the call, once, on the event loop */
    HttpCall(EventLoop loop, ConnectionPool connections, OutgoingRequest request, Consumer<HttpResponse> then) {
        this.loop = loop;
        this.connections = connections;
        this.request = request;
        this.then = then;
    }

    /** Begins the call, which ends without an answer when none has come within this time. */
    void begin(long timeoutMicros) {
        deadline = loop.thread()
                .executeAfter(
                        EventLoop.guarded(() -> fail("timed out")),
                        timeoutMicros / MICROS_PER_MILLI,
                        TimeUnit.MILLISECONDS);
        ClientConnection kept = request.sharesConnection() ? connections.takeIdle(request.address()) : null;
        if (kept != null) {
            send(kept);
        } else {
            connecting = connections.open(request.address(), step(this::connected));
        }
    }

    private void connected(ClientConnection opened) {
        if (ended) {
            IoUtils.safeClose(opened);
        } else {
            send(opened);
        }
    }

    private void send(ClientConnection open) {
        connection = open;
        open.sendRequest(request.toClientRequest(), step(this::sent));
    }

    /** The head of the request is under way: its body follows, and an answer may come from now on. */
    private void sent(ClientExchange exchange) {
        exchange.setResponseListener(step(this::read));
        byte[] body = request.body();
        if (body != null) {
            new RequestBodyWriter(body).begin(exchange.getRequestChannel());
        }
    }

    private void read(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        new ResponseBodyReader(loop.buffers(), body -> succeed(status, body), this::fail)
                .begin(exchange.getResponseChannel());
    }

    private void succeed(int status, byte[] body) {
        if (ended) {
            return;
        }
        end();
        releaseConnection();
        answer(HttpResponse.of(status, body));
    }

    private void fail(IOException cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String why) {
        if (ended) {
            return;
        }
        end();
        LOG.debug("{}: {}", request, why);
        IoUtils.safeClose(connection);
        if (connecting != null) {
            connecting.cancel();
        }
        answer(HttpResponse.NONE);
    }

    private void end() {
        ended = true;
        if (deadline != null) {
            deadline.remove();
        }
    }

    private void releaseConnection() {
        ClientConnection used = connection;
        if (request.sharesConnection() && used != null && used.isOpen()) {
            // Only after the exchange has been closed by the client may the connection take the next request.
            loop.execute(() -> connections.keepIdle(request.address(), used));
        } else {
            IoUtils.safeClose(used);
        }
    }

    private void answer(HttpResponse answer) {
        EventLoop.guarded(() -> then.accept(answer)).run();
    }

    /** A step of the call, whose failure is that of the call. */
    private <T> ClientCallback<T> step(Consumer<T> next) {
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
