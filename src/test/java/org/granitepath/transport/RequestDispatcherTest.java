package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.granitepath.protocol.HttpStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Requests whose packets arrive one after the other, at handlers that answer later or not at all. Guards against status
 * 200 for a request that nobody has answered.
 */
class RequestDispatcherTest {
    /** The time between two packets of a request, and between a request and its answer. */
    private static final long GAP_MILLIS = 30;
    /** Bounds the wait for an answer that never comes. */
    private static final int TIMEOUT_MILLIS = 30_000;

    private ListenerFixture listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ListenerFixture(this::route);
    }

    @AfterEach
    void stop() {
        listener.close();
    }

    private void route(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/later" ->
                RequestDispatcher.readBody(
                        exchange,
                        body -> answerLater(exchange, HttpStatus.CREATED, body.length + " bytes"),
                        () -> answerLater(exchange, HttpStatus.BAD_REQUEST, "unreadable"));
            case "/failing" ->
                RequestDispatcher.readBody(
                        exchange,
                        body -> {
                            throw new IllegalStateException("on purpose");
                        },
                        () -> {});
            case "/failing-early" -> throw new IllegalStateException("on purpose");
            case "/ended" -> RequestDispatcher.readBody(exchange, body -> exchange.endExchange(), () -> {});
            default -> exchange.endExchange();
        }
    }

    private void answerLater(HttpServerExchange exchange, int status, String text) {
        listener.loop.after(
                GAP_MILLIS * 1000,
                () -> exchange.setStatusCode(status).getResponseSender().send(text));
    }

    private String exchange(List<String> packets) throws Exception {
        InetSocketAddress address = listener.address();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            for (String packet : packets) {
                out.write(packet.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(GAP_MILLIS);
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static String head(String path, String bodyHeader) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + bodyHeader + "\r\n\r\n";
    }

    private static String withLength(int length) {
        return head("/later", "Content-Length: " + length);
    }

    private static String chunked() {
        return head("/later", "Transfer-Encoding: chunked");
    }

    private static Stream<Arguments> requests() {
        String large = "x".repeat(30_000);
        return Stream.of(
                Arguments.of("no body", List.of(withLength(0)), 201, "0 bytes"),
                Arguments.of("body with the head", List.of(withLength(2) + "{}"), 201, "2 bytes"),
                Arguments.of("body after the head", List.of(withLength(2), "{}"), 201, "2 bytes"),
                Arguments.of("body in two packets", List.of(withLength(2) + "{", "}"), 201, "2 bytes"),
                Arguments.of(
                        "head in two packets",
                        List.of(withLength(2).substring(0, 9), withLength(2).substring(9), "{}"),
                        201,
                        "2 bytes"),
                Arguments.of("large body", List.of(withLength(60_000), large, large), 201, "60000 bytes"),
                Arguments.of("chunks", List.of(chunked(), "1\r\n{\r\n", "1\r\n}\r\n", "0\r\n\r\n"), 201, "2 bytes"),
                Arguments.of("length above the maximum", List.of(withLength(70_000)), 400, "unreadable"),
                Arguments.of(
                        "body that the client asks to send",
                        List.of(head("/later", "Expect: 100-continue\r\nContent-Length: 2"), "{}"),
                        201,
                        "2 bytes"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("requests")
    void exchangeStaysOpenUntilItIsAnswered(String name, List<String> packets, int status, String text)
            throws Exception {
        String response = exchange(packets);
        assertTrue(response.contains("HTTP/1.1 " + status + " "), response);
        assertTrue(response.endsWith("\r\n\r\n" + text), response);
    }

    @ParameterizedTest
    @MethodSource("unanswered")
    void exchangeThatEndsWithoutAnAnswerReportsAnError(List<String> packets) throws Exception {
        String response = exchange(packets);
        assertTrue(response.startsWith("HTTP/1.1 500 "), response);
    }

    /** The server must answer at once: a client would otherwise wait, and its connection would stay open. */
    @ParameterizedTest
    @MethodSource("failing")
    void failingHandlerIsAnsweredWithAnError(List<String> packets) throws Exception {
        String response = exchange(packets);
        assertTrue(response.startsWith("HTTP/1.1 500 "), response);
    }

    private static Stream<List<String>> failing() {
        String head = head("/failing", "Content-Length: 2");
        return Stream.of(
                List.of(head + "{}"), List.of(head, "{}"), List.of(head("/failing-early", "Content-Length: 0")));
    }

    private static Stream<List<String>> unanswered() {
        String head = head("/ended", "Content-Length: 2");
        return Stream.of(List.of(head + "{}"), List.of(head, "{}"), List.of(head("/other", "Content-Length: 0")));
    }
}
