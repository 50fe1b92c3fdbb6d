package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.granitepath.loopback.LoopbackPorts;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The real server on loopback without a reachable store or cloud. It must still answer every request. */
class ServeHttpTest {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final int MAX_CONNECTIONS = 64;
    private static int port;
    private static int peerPort;

    @BeforeAll
    static void serve(@TempDir Path dir) throws Exception {
        LoopbackPorts ports = new LoopbackPorts();
        port = ports.reserve();
        peerPort = ports.reserve();
        Path file = Files.writeString(
                dir.resolve("n.toml"),
                SettingsFixture.VALID_TOML
                                .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"")
                                .replace("127.0.0.1:2\"", "127.0.0.1:" + peerPort + "\"")
                        + "[facts.resources]\nmax_connections = " + MAX_CONNECTIONS + "\n");
        ServeCommand.start(Settings.read(file, null, false), false);
    }

    private static HttpResponse<String> send(String method, String path, String body) throws Exception {
        return send(port, method, path, body);
    }

    private static HttpResponse<String> send(int serverPort, String method, String path, String body) throws Exception {
        return CLIENT.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + serverPort + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void controllerWithoutRecordsIsNotHealthy() throws Exception {
        assertEquals(503, send("GET", "/up", "").statusCode());
    }

    /** A controller that has not read the records cannot know which controller is the leader. */
    @Test
    void controllerWithoutRecordsReportsAnUnknownRole() throws Exception {
        HttpResponse<String> response = send(peerPort, "GET", "/recovery", "");
        assertEquals(200, response.statusCode());
        assertTrue(response.body().contains("\"role\":\"unknown\""), response.body());
        assertTrue(response.body().contains("the records have not been read yet"), response.body());
        assertEquals(404, send(peerPort, "GET", "/nowhere", "").statusCode());
    }

    @Test
    void unreadableHeartbeatsAreCounted() throws Exception {
        send("POST", "/agent/beat", "{\"host\":7}");
        String metrics = send(peerPort, "GET", "/metrics", "").body();
        assertTrue(
                metrics.lines().anyMatch(line -> line.matches("granitepath\\.reports\\.unreadable.* [1-9].*")),
                metrics);
        assertTrue(metrics.contains("granitepath.recovery.phase"), metrics);
    }

    @Test
    void unavailableControllerAnswersImmediatelyWithRetryAfter() throws Exception {
        HttpResponse<String> response = send("GET", "/submissions/run-000001", "");
        assertEquals(503, response.statusCode());
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
        assertEquals(503, send("POST", "/submissions/run-000001/cancel", "").statusCode());
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "400,POST,/submissions,{",
                "400,POST,/agent/beat,[]",
                "404,GET,/submissions/nonsense,``",
                "404,GET,/nowhere,``",
                "405,POST,/submissions/run-000001,``"
            })
    void malformedRequestsGetAPermanentErrorStatus(int status, String method, String path, String body)
            throws Exception {
        assertEquals(status, send(method, path, body).statusCode());
    }

    @Test
    void bodyAboveTheMaximumSizeIsRejected() throws Exception {
        String body = "{\"uid\":\"" + "x".repeat(70_000) + "\"}";
        assertEquals(400, send("POST", "/submissions", body).statusCode());
    }

    /** Above a limit, the server closes connections after the response, so that sockets stay available. */
    @Test
    void connectionsAboveTheLimitAreClosed() throws Exception {
        List<Socket> open = new ArrayList<>();
        int keptConnections = 0;
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            open.add(socket);
            keptConnections += keepsOpen(socket) ? 1 : 0;
        }
        assertTrue(
                keptConnections > MAX_CONNECTIONS / 2 && keptConnections < MAX_CONNECTIONS * 0.9,
                keptConnections + " connections kept");
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Sends a health check and returns whether the head of the response allows another request. */
    private static boolean keepsOpen(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        boolean closes = false;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            closes |= line.equalsIgnoreCase("Connection: close");
        }
        return !closes;
    }

    @Test
    void heartbeatIsUnavailableWhileNoLeaderIsKnown() throws Exception {
        String heartbeat = """
                {"host":"i-1","address":"127.0.0.1:1","model":"m","site":"z","loaner":false,\
                "shift":1,"tally":1,"baton":0,"pieces":[]}""";
        assertEquals(503, send("POST", "/agent/beat", heartbeat).statusCode());
    }
}
