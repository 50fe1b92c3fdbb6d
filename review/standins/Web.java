import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: small servers on free loopback ports, and a client. */
final class Web {
    /** The answer of a server; status 0 stands for no answer (connection failure or timeout). */
    record Answer(int status, String body) {
        static Answer ok(Object body) {
            return new Answer(200, Json.write(body));
        }

        static Answer error(int status, String why) {
            return new Answer(status, Json.write(Map.of("error", why)));
        }

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    record Request(String method, String path, Map<String, String> query, String body) {}

    interface Handler {
        Answer answer(Request request) throws Exception;
    }

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    static final HttpClient CLIENT = HttpClient.newBuilder()
            .executor(THREADS)
            .version(HttpClient.Version.HTTP_1_1)
            .build();

    private Web() {}

    /** Starts a server and returns its address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        Answer answer;
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            if (text != null) {
                for (String part : text.split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            answer = handler.answer(new Request(
                    exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body));
        } catch (Exception e) {
            answer = Answer.error(400, String.valueOf(e));
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /**
     * Posts a body that leaves in a packet of its own, after the head of the request. Reads one answer from a connection
     * that is closed afterwards.
     */
    static Answer postInTwoPackets(String address, String path, String body, long gapMillis, int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    500);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "POST " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(gapMillis);
            out.write(bytes);
            out.flush();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int end = answer.indexOf("\r\n\r\n");
            if (!answer.startsWith("HTTP/1.1 ") || end < 0) {
                return new Answer(0, "");
            }
            return new Answer(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
        } catch (IOException | InterruptedException e) {
            return new Answer(0, "");
        }
    }

    static Answer call(String method, String address, String path, String body, long timeoutMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMillis))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            return new Answer(0, "");
        }
    }
}
