package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.granitepath.protocol.Json;

/** An HTTP server on a free loopback port whose requests and answers are JSON objects. */
abstract class Server implements AutoCloseable {
    /** An answer; a null body means that the connection is closed without one. */
    record Answer(int status, Map<String, Object> body) {
        static Answer ok(Map<String, Object> body) {
            return new Answer(200, body);
        }

        static Answer error(int status, String text) {
            return new Answer(status, Map.of("error", text));
        }
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private final HttpServer server;

    Server() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(THREADS);
        server.createContext("/", this::handle);
    }

    final void listen() {
        server.start();
    }

    final int port() {
        return server.getAddress().getPort();
    }

    final String address() {
        return "127.0.0.1:" + port();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Object> body = text.isEmpty() ? Map.of() : Json.decodeObject(text);
            Map<String, String> query = new LinkedHashMap<>();
            String raw = exchange.getRequestURI().getQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            Answer answer = body == null
                    ? Answer.error(400, "not JSON")
                    : answer(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            if (answer.body() == null) {
                return;
            }
            byte[] bytes = Json.encode(answer.body()).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().put("Content-Type", List.of("application/json"));
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has given up.
        } catch (RuntimeException e) {
            e.printStackTrace();
            throw e;
        }
    }

    abstract Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body);

    @Override
    public void close() {
        server.stop(0);
    }
}
