package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.PeerPort;
import org.granitepath.protocol.PeerCodec;
import org.granitepath.protocol.RecoveryStatusCodec;

/** What the other controllers and the operators talk to. */
public final class BackServer {
    private static final String RECOVERY = "/recovery";

    private final Controller controller;
    private final Metrics metrics;

    BackServer(Controller controller, Metrics metrics) {
        this.controller = controller;
        this.metrics = metrics;
    }

    Undertow listen(EventLoop loop, String host, int port, int backlog) {
        Undertow server = ServiceServer.builder(loop, host, port, backlog)
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, EventLoop.guarded(() -> {
                    if (exchange.getRequestPath().equals("/metrics")) {
                        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
                        exchange.getResponseSender().send(metrics.text());
                    } else if (exchange.getRequestPath().equals(RECOVERY)) {
                        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                        exchange.getResponseSender().send(RecoveryStatusCodec.encode(controller.recoveryStatus()));
                    } else if (exchange.getRequestPath().equals(PeerClient.STATUS)) {
                        exchange.getRequestReceiver().receiveFullBytes((ex, bytes) -> {
                            PeerPort.PeerStatus theirs = PeerCodec.decode(bytes);
                            if (theirs == null) {
                                ex.setStatusCode(400).endExchange();
                            } else {
                                ex.getResponseSender()
                                        .send(ByteBuffer.wrap(PeerCodec.encode(controller.statusReceived(theirs))));
                            }
                        });
                    } else if (exchange.getRequestPath().equals(PeerClient.CANCELLED)) {
                        exchange.getRequestReceiver().receiveFullBytes((ex, bytes) -> {
                            PeerPort.CancellationNotice notice = PeerCodec.decodeCancelled(bytes);
                            if (notice == null) {
                                ex.setStatusCode(400);
                            } else {
                                controller.cancellationReceived(notice);
                            }
                            ex.endExchange();
                        });
                    } else {
                        exchange.setStatusCode(404).endExchange();
                    }
                })))
                .build();
        server.start();
        return server;
    }
}
