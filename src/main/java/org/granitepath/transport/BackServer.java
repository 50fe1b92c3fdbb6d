package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.PeerCodec;
import org.granitepath.protocol.RecoveryStatusCodec;

/** What the other controllers and the operators talk to. */
public final class BackServer {
    private static final String METRICS = "/metrics";
    private static final String RECOVERY = "/recovery";
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";

    private final Controller controller;
    private final Metrics metrics;

    BackServer(Controller controller, Metrics metrics) {
        this.controller = controller;
        this.metrics = metrics;
    }

    Undertow listen(EventLoop loop, String host, int port, int backlog) {
        Undertow server = ServiceServer.builder(loop, host, port, backlog)
                .setHandler(exchange ->
                        exchange.dispatch(SameThreadExecutor.INSTANCE, EventLoop.guarded(() -> route(exchange))))
                .build();
        server.start();
        return server;
    }

    private void route(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case METRICS -> send(exchange, TEXT, metrics.text());
            case RECOVERY -> send(exchange, JSON, RecoveryStatusCodec.encode(controller.recoveryStatus()));
            case PeerClient.STATUS -> exchange.getRequestReceiver().receiveFullBytes(this::exchangeStatus);
            case PeerClient.CANCELLED -> exchange.getRequestReceiver().receiveFullBytes(this::takeCancellation);
            default -> exchange.setStatusCode(HttpStatus.NOT_FOUND).endExchange();
        }
    }

    private static void send(HttpServerExchange exchange, String contentType, String text) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(text);
    }

    private void exchangeStatus(HttpServerExchange exchange, byte[] bytes) {
        PeerPort.PeerStatus theirs = PeerCodec.decode(bytes);
        if (theirs == null) {
            exchange.setStatusCode(HttpStatus.BAD_REQUEST).endExchange();
            return;
        }
        byte[] ours = PeerCodec.encode(controller.statusReceived(theirs));
        exchange.getResponseSender().send(ByteBuffer.wrap(ours));
    }

    private void takeCancellation(HttpServerExchange exchange, byte[] bytes) {
        PeerPort.CancellationNotice notice = PeerCodec.decodeCancelled(bytes);
        if (notice == null) {
            exchange.setStatusCode(HttpStatus.BAD_REQUEST);
        } else {
            controller.cancellationReceived(notice);
        }
        exchange.endExchange();
    }
}
