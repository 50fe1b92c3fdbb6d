package org.granitepath.loopback;

import com.google.common.base.Splitter;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import org.granitepath.protocol.Json;
import org.jspecify.annotations.Nullable;

/** An HTTP server on the loopback interface that answers with JSON and listens on a port chosen by the system. */
abstract class FakeHttpServer implements AutoCloseable {
    /** An answer: a status and a JSON object. */
    record Answer(int status, Map<String, Object> body) {
        static Answer ok(Map<String, Object> body) {
            return new Answer(200, body);
        }

        static Answer error(int status, String message) {
            return new Answer(status, Map.of("error", message));
        }
    }

    private final HttpServer server;

    FakeHttpServer(Executor executor) {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(executor);
        server.createContext("/", this::handle);
    }

    final void listen() {
        server.start();
    }

    final String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Answer answer = answer(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    query(exchange.getRequestURI().getQuery()),
                    body.isEmpty() ? Map.of() : Json.decodeObject(body));
            byte[] bytes = Json.encode(answer.body()).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static Map<String, String> query(@Nullable String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String pair : Splitter.on('&').split(text)) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    /** Answers a request. It is called on a thread of the executor. */
    abstract Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body);
}
