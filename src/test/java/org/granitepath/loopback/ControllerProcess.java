package org.granitepath.loopback;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.granitepath.protocol.Json;

/** A controller that runs from the packaged jar in a process of its own. */
final class ControllerProcess implements AutoCloseable {
    private static final Path JAR = Path.of("target", "granitepath.jar");
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);

    /** An answer of a controller. The status is 0 if no answer came. */
    record Reply(int status, Map<String, Object> body) {}

    private final String address;
    private final String peerAddress;
    private final HttpClient client;
    private final Path config;
    private final Path tuning;
    private final Path log;
    private Process process;
    private boolean killed;

    ControllerProcess(String address, String peerAddress, HttpClient client, Path config, Path tuning, Path log) {
        this.address = address;
        this.peerAddress = peerAddress;
        this.client = client;
        this.config = config;
        this.tuning = tuning;
        this.log = log;
    }

    /** Returns HOST:PORT of the API for users and workers. */
    String address() {
        return address;
    }

    void start() throws IOException {
        if (!Files.exists(JAR)) {
            throw new IOException(JAR + " is missing: the test runs after packaging");
        }
        process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-jar",
                        JAR.toString(),
                        "serve",
                        "--live-first",
                        "--tuning",
                        tuning.toString(),
                        "--config",
                        config.toString()))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        killed = false;
    }

    /** Kills the process without a warning, and waits until it has ended. */
    void kill() throws InterruptedException {
        killed = true;
        process.destroyForcibly();
        process.waitFor();
    }

    /** Fails if the process has ended by itself, with the last line of its log, which gives the reason. */
    void assertRunning() {
        if (process != null && !killed && !process.isAlive()) {
            fail(log.getFileName() + ": exited by itself with status " + process.exitValue() + ": " + lastLine());
        }
    }

    private String lastLine() {
        try {
            List<String> lines = Files.readAllLines(log);
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "its log can't be read: " + e.getMessage();
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }

    Reply get(String path) throws InterruptedException {
        return ask(
                HttpRequest.newBuilder(URI.create("http://" + address + path)).GET());
    }

    Reply post(String path, String body) throws InterruptedException {
        return ask(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    Reply recovery() throws InterruptedException {
        return ask(HttpRequest.newBuilder(URI.create("http://" + peerAddress + "/recovery"))
                .GET());
    }

    private Reply ask(HttpRequest.Builder request) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    client.send(request.timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), Json.decodeObject(response.body()));
        } catch (IOException e) {
            return new Reply(0, Map.of());
        }
    }
}
