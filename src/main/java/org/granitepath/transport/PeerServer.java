package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.PeerCodec;
import org.granitepath.protocol.RecoveryStatusCodec;

/** HTTP server of the peer interface, which the other controllers and the operators use. */
final class PeerServer {
    private static final String METRICS_PATH = "/metrics";
    private static final String RECOVERY_PATH = "/recovery";
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";

    private final Controller controller;
    private final Metrics metrics;

    PeerServer(Controller controller, Metrics metrics) {
        this.controller = controller;
        this.metrics = metrics;
    }

    /** Handles a request. Must be called on the event loop. */
    void route(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case METRICS_PATH -> send(exchange, TEXT, metrics.text());
            case RECOVERY_PATH -> send(exchange, JSON, RecoveryStatusCodec.encode(controller.recoveryStatus()));
            case PeerClient.STATUS_PATH -> readBody(exchange, body -> exchangeStatus(exchange, body));
            case PeerClient.CANCELLATION_PATH -> readBody(exchange, body -> receiveCancellation(exchange, body));
            default -> end(exchange, HttpStatus.NOT_FOUND);
        }
    }

    private static void readBody(HttpServerExchange exchange, Consumer<byte[]> handler) {
        RequestDispatcher.readBody(exchange, handler, () -> end(exchange, HttpStatus.BAD_REQUEST));
    }

    private static void end(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status).endExchange();
    }

    private static void send(HttpServerExchange exchange, String contentType, String text) {
        exchange.setStatusCode(HttpStatus.OK);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(text);
    }

    private void exchangeStatus(HttpServerExchange exchange, byte[] bytes) {
        PeerPort.PeerStatus peerStatus = PeerCodec.decodeStatus(bytes);
        if (peerStatus == null) {
            end(exchange, HttpStatus.BAD_REQUEST);
            return;
        }
        byte[] ownStatus = PeerCodec.encode(controller.handlePeerStatus(peerStatus));
        exchange.setStatusCode(HttpStatus.OK).getResponseSender().send(ByteBuffer.wrap(ownStatus));
    }

    private void receiveCancellation(HttpServerExchange exchange, byte[] bytes) {
        PeerPort.CancellationNotice notice = PeerCodec.decodeCancellation(bytes);
        if (notice == null) {
            end(exchange, HttpStatus.BAD_REQUEST);
            return;
        }
        controller.handleCancellationNotice(notice);
        end(exchange, HttpStatus.OK);
    }
}
