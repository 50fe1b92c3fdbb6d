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

    /** {@code status} 0: no answer. */
    public interface Reply {
        /** The call has ended; status 0: without an answer. */
        void done(int status, String body);
    }

    /** The same for a body that is no text. */
    public interface BytesReply {
        /** The call has ended; status 0: without an answer. */
        void done(int status, byte[] body);
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
     * @param keep whether the connection is kept for later requests to the same address
     */
    public void call(
            String address,
            HttpString method,
            String path,
            String body,
            long timeoutMicros,
            boolean keep,
            Reply reply) {
        exchange(
                address,
                method,
                path,
                body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                "application/json",
                timeoutMicros,
                keep,
                (status, bytes) ->
                        reply.done(status, bytes == null ? null : new String(bytes, StandardCharsets.UTF_8)));
    }

    void exchange(
            String address,
            HttpString method,
            String path,
            byte[] body,
            String type,
            long timeoutMicros,
            boolean keep,
            BytesReply reply) {
        new Call(address, method, path, body, type, keep, reply).begin(timeoutMicros);
    }

    private final class Call {
        private final String address;
        private final HttpString method;
        private final String path;
        private final byte[] body;
        private final String type;
        private final boolean keep;
        private final BytesReply reply;
        private IoFuture<StreamConnection> connecting;
        private ClientConnection connection;
        private XnioExecutor.Key timer;
        private boolean over;

        Call(String address, HttpString method, String path, byte[] body, String type, boolean keep, BytesReply reply) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.type = type;
            this.keep = keep;
            this.reply = reply;
        }

        void begin(long timeoutMicros) {
            timer = loop.thread()
                    .executeAfter(
                            EventLoop.guarded(() -> fail("timed out")),
                            timeoutMicros / 1000,
                            java.util.concurrent.TimeUnit.MILLISECONDS);
            ArrayDeque<ClientConnection> kept = idle.get(address);
            while (keep && kept != null && !kept.isEmpty()) {
                ClientConnection c = kept.pop();
                if (c.isOpen()) {
                    send(c);
                    return;
                }
            }
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection c) {
                                    if (over) {
                                        IoUtils.safeClose(c);
                                    } else {
                                        send(c);
                                    }
                                }

                                @Override
                                public void failed(IOException e) {
                                    fail(String.valueOf(e.getMessage()));
                                }
                            },
                            URI.create("http://" + address),
                            connector,
                            loop.buffers(),
                            OptionMap.create(Options.TCP_NODELAY, true));
            connecting = connector.latest();
        }

        private void send(ClientConnection c) {
            connection = c;
            ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (!keep) {
                request.getRequestHeaders().put(Headers.CONNECTION, "close");
            }
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, type);
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
            }
            c.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            read(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail(String.valueOf(e.getMessage()));
                        }
                    });
                    if (body != null) {
                        new BytesWriter(body).setup(exchange.getRequestChannel());
                    }
                }

                @Override
                public void failed(IOException e) {
                    fail(String.valueOf(e.getMessage()));
                }
            });
        }

        private void read(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            new BytesReader(loop.buffers(), bytes -> finish(status, bytes), e -> fail(String.valueOf(e.getMessage())))
                    .setup(exchange.getResponseChannel());
        }

        private void finish(int status, byte[] bytes) {
            if (over) {
                return;
            }
            over = true;
            timer.remove();
            ClientConnection c = connection;
            if (keep && c.isOpen()) {
                // Only after the exchange has been closed by the client may the connection take the next request.
                loop.run(() -> {
                    ArrayDeque<ClientConnection> kept = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
                    if (c.isOpen() && kept.size() < IDLE_KEPT) {
                        kept.push(c);
                    } else {
                        IoUtils.safeClose(c);
                    }
                });
            } else {
                IoUtils.safeClose(c);
            }
            EventLoop.guarded(() -> reply.done(status, bytes)).run();
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            over = true;
            timer.remove();
            LOG.debug("{} {}{}: {}", method, address, path, why);
            IoUtils.safeClose(connection);
            if (connecting != null) {
                connecting.cancel();
            }
            EventLoop.guarded(() -> reply.done(0, null)).run();
        }
    }
}
