package org.granitepath.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.granitepath.protocol.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/** Outgoing HTTP requests, one at a time on a connection; each ends with an answer or, in time, without one. */
public final class HttpCalls {
    private static final Logger LOG = LoggerFactory.getLogger(HttpCalls.class);
    private static final int IDLE_KEPT = 4;
    private static final long MICROS_PER_MILLI = 1000;

    /** What becomes of the connection after a call. */
    public enum AfterCall {
        /** It is kept for later calls to the same address. */
        KEEP,
        /** It is closed: the next call to this address is far off. */
        CLOSE
    }

    /** Takes the end of a call with a text for its body. */
    public interface Reply {
        /** The call has ended; status {@link HttpStatus#NO_ANSWER}: without an answer, and the body is null. */
        void done(int status, @Nullable String body);
    }

    /** Takes the end of a call with a body that is no text. */
    interface BytesReply {
        /** The call has ended; status {@link HttpStatus#NO_ANSWER}: without an answer, and the body is null. */
        void done(int status, byte @Nullable [] body);
    }

    private final EventLoop loop;
    private final Connector connector;
    private final Map<String, ArrayDeque<ClientConnection>> idle = new HashMap<>();

    /** Makes calls on this event loop. */
    public HttpCalls(EventLoop loop) {
        this.loop = loop;
        this.connector = new Connector(loop.thread());
    }

    /**
     * Sends a request with a text for its body.
     *
     * @param body null: none
     */
    public void call(
            String address,
            HttpString method,
            String path,
            @Nullable String body,
            long timeoutMicros,
            AfterCall afterCall,
            Reply reply) {
        exchange(
                address,
                method,
                path,
                body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                "application/json",
                timeoutMicros,
                afterCall,
                (status, bytes) ->
                        reply.done(status, bytes == null ? null : new String(bytes, StandardCharsets.UTF_8)));
    }

    void exchange(
            String address,
            HttpString method,
            String path,
            byte @Nullable [] body,
            String type,
            long timeoutMicros,
            AfterCall afterCall,
            BytesReply reply) {
        new Call(address, method, path, body, type, afterCall, reply).begin(timeoutMicros);
    }

    /** A connection to this address that is kept and still open; null: there is none. */
    private @Nullable ClientConnection takeIdle(String address) {
        ArrayDeque<ClientConnection> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            ClientConnection connection = kept.pop();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    private void keepIdle(String address, ClientConnection connection) {
        ArrayDeque<ClientConnection> kept = idle.computeIfAbsent(address, unused -> new ArrayDeque<>());
        if (connection.isOpen() && kept.size() < IDLE_KEPT) {
            kept.push(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** One call, from its beginning to its end: an answer, a failure or a timeout, whichever comes first. */
    private final class Call {
        private final String address;
        private final HttpString method;
        private final String path;
        private final byte @Nullable [] body;
        private final String type;
        private final AfterCall afterCall;
        private final BytesReply reply;
        private @Nullable IoFuture<StreamConnection> connecting;
        private @Nullable ClientConnection connection;
        private XnioExecutor.@Nullable Key deadline;
        private boolean over;

        Call(
                String address,
                HttpString method,
                String path,
                byte @Nullable [] body,
                String type,
                AfterCall afterCall,
                BytesReply reply) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.type = type;
            this.afterCall = afterCall;
            this.reply = reply;
        }

        void begin(long timeoutMicros) {
            deadline = loop.thread()
                    .executeAfter(
                            EventLoop.guarded(() -> fail("timed out")),
                            timeoutMicros / MICROS_PER_MILLI,
                            TimeUnit.MILLISECONDS);
            ClientConnection kept = afterCall == AfterCall.KEEP ? takeIdle(address) : null;
            if (kept != null) {
                send(kept);
            } else {
                connect();
            }
        }

        private void connect() {
            UndertowClient.getInstance()
                    .connect(
                            new Step<ClientConnection>() {
                                @Override
                                public void completed(ClientConnection opened) {
                                    if (over) {
                                        IoUtils.safeClose(opened);
                                    } else {
                                        send(opened);
                                    }
                                }
                            },
                            URI.create("http://" + address),
                            connector,
                            loop.buffers(),
                            OptionMap.create(Options.TCP_NODELAY, true));
            connecting = connector.latest();
        }

        private void send(ClientConnection open) {
            connection = open;
            open.sendRequest(request(), new Step<ClientExchange>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new Step<ClientExchange>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            read(answered);
                        }
                    });
                    if (body != null) {
                        new BytesWriter(body).setup(exchange.getRequestChannel());
                    }
                }
            });
        }

        private ClientRequest request() {
            ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (afterCall == AfterCall.CLOSE) {
                request.getRequestHeaders().put(Headers.CONNECTION, "close");
            }
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, type);
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
            }
            return request;
        }

        private void read(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            new BytesReader(loop.buffers(), bytes -> finish(status, bytes), this::fail)
                    .setup(exchange.getResponseChannel());
        }

        private void finish(int status, byte[] bytes) {
            if (over) {
                return;
            }
            end();
            ClientConnection used = connection;
            if (afterCall == AfterCall.KEEP && used != null && used.isOpen()) {
                // Only after the exchange has been closed by the client may the connection take the next request.
                loop.run(() -> keepIdle(address, used));
            } else {
                IoUtils.safeClose(used);
            }
            EventLoop.guarded(() -> reply.done(status, bytes)).run();
        }

        private void end() {
            over = true;
            if (deadline != null) {
                deadline.remove();
            }
        }

        private void fail(IOException cause) {
            fail(String.valueOf(cause.getMessage()));
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            end();
            LOG.debug("{} {}{}: {}", method, address, path, why);
            IoUtils.safeClose(connection);
            if (connecting != null) {
                connecting.cancel();
            }
            EventLoop.guarded(() -> reply.done(HttpStatus.NO_ANSWER, null)).run();
        }

        /** A step of the call, whose failure is that of the call. */
        private abstract class Step<T> implements ClientCallback<T> {
            @Override
            public void failed(IOException cause) {
                fail(cause);
            }
        }
    }
}
