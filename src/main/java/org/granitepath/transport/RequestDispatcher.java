package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.Consumer;
import org.granitepath.protocol.HttpStatus;

/**
 * Runs the handlers of requests on the event loop. A handler may return before the response is sent; the exchange then
 * stays open until it is answered.
 *
 * <p>Undertow ends an exchange without an answer as soon as a handler that it calls returns without a dispatch, and
 * sends the status that is set by then, 200 by default. It calls a handler for the head of a request, and another one
 * when the body arrives after the head. So both are dispatched, and an exchange that ends without an answer reports an
 * error.
 */
final class RequestDispatcher {
    private RequestDispatcher() {}

    /** Runs the handler of a new request. */
    static void start(HttpServerExchange exchange, Runnable handler) {
        exchange.setStatusCode(HttpStatus.INTERNAL_SERVER_ERROR);
        dispatch(exchange, handler);
    }

    /**
     * Reads the body of a request, which may arrive after this call.
     *
     * @param handler takes the body
     * @param whenUnreadable runs instead if the body is too large or cannot be read
     */
    static void readBody(HttpServerExchange exchange, Consumer<byte[]> handler, Runnable whenUnreadable) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> dispatch(received, () -> handler.accept(body)),
                        (received, cause) -> dispatch(received, whenUnreadable));
    }

    private static void dispatch(HttpServerExchange exchange, Runnable handler) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, EventLoop.withErrorLogging(() -> runOrEnd(exchange, handler)));
    }

    /** Runs the handler. If it fails, ends the exchange with an error, so that the client does not wait in vain. */
    private static void runOrEnd(HttpServerExchange exchange, Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException e) {
            if (!exchange.isResponseStarted()) {
                exchange.setStatusCode(HttpStatus.INTERNAL_SERVER_ERROR);
            }
            exchange.endExchange();
            throw e;
        }
    }
}
