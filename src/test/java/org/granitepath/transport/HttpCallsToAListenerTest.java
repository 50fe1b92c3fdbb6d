package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls from {@link HttpCalls} to an {@link HttpListener} over a socket on 127.0.0.1. */
class HttpCallsToAListenerTest {
    private static final long CALL_TIMEOUT_MICROS = 30_000_000;
    private static final long SHORT_TIMEOUT_MICROS = 50_000;
    /** Bounds the wait for a call that never ends. */
    private static final int TIMEOUT_SECONDS = 60;

    private ListenerFixture listener;
    private EventLoop loop;
    private HttpCalls http;
    private String address;

    @BeforeEach
    void listen() throws IOException {
        listener = new ListenerFixture(this::route);
        loop = listener.loop;
        http = new HttpCalls(loop);
        address = "127.0.0.1:" + listener.address().getPort();
    }

    @AfterEach
    void stop() {
        listener.close();
    }

    private void route(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/echo" ->
                exchange.getRequestReceiver()
                        .receiveFullBytes((received, bytes) ->
                                received.getResponseSender().send(ByteBuffer.wrap(bytes)));
            case "/type" -> exchange.getResponseSender().send(contentHeaders(exchange.getRequestHeaders()));
            case "/caller" ->
                exchange.getResponseSender()
                        .send(Integer.toString(exchange.getSourceAddress().getPort()));
            case "/refused" -> exchange.setStatusCode(409).getResponseSender().send("why");
            case "/failing" -> throw new IllegalStateException("on purpose");
            default -> {
                // No response: the exchange stays open until its connection is closed.
            }
        }
    }

    private static String contentHeaders(HeaderMap headers) {
        return headers.getFirst(Headers.CONTENT_TYPE) + " " + headers.getFirst(Headers.CONTENT_LENGTH);
    }

    private HttpResponse call(OutgoingRequest request, long timeoutMicros) throws Exception {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        loop.execute(() -> http.call(request, timeoutMicros, response::complete));
        return response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private HttpResponse get(String path, ConnectionPolicy connectionPolicy) throws Exception {
        return call(OutgoingRequest.get(address, path, connectionPolicy), CALL_TIMEOUT_MICROS);
    }

    @Test
    void statusAndBodyAreReturned() throws Exception {
        HttpResponse response = get("/refused", ConnectionPolicy.KEEP_ALIVE);
        assertEquals(409, response.status());
        assertEquals("why", response.text());
    }

    @Test
    void bodyIsTransferredCompletely() throws Exception {
        byte[] body = "ä".repeat(20_000).getBytes(StandardCharsets.UTF_8);
        OutgoingRequest request = OutgoingRequest.post(address, "/echo", "text/plain", body, ConnectionPolicy.CLOSE);
        assertArrayEquals(body, call(request, CALL_TIMEOUT_MICROS).body());
    }

    @Test
    void jsonBodyHasItsTypeAndItsLengthInBytes() throws Exception {
        OutgoingRequest json = OutgoingRequest.postJson(address, "/type", "ä", ConnectionPolicy.KEEP_ALIVE);
        assertEquals("application/json 2", call(json, CALL_TIMEOUT_MICROS).text());
    }

    @Test
    void otherBodyHasTheGivenType() throws Exception {
        OutgoingRequest bytes =
                OutgoingRequest.post(address, "/type", "application/msgpack", new byte[3], ConnectionPolicy.KEEP_ALIVE);
        assertEquals("application/msgpack 3", call(bytes, CALL_TIMEOUT_MICROS).text());
    }

    @Test
    void requestWithoutBodyHasNeitherTypeNorLength() throws Exception {
        assertEquals("null null", get("/type", ConnectionPolicy.KEEP_ALIVE).text());
    }

    @Test
    void keptConnectionCarriesTheNextCall() throws Exception {
        String first = get("/caller", ConnectionPolicy.KEEP_ALIVE).text();
        assertEquals(first, get("/caller", ConnectionPolicy.KEEP_ALIVE).text());
    }

    @Test
    void closedConnectionCarriesNoOtherCall() throws Exception {
        String keptConnectionPort = get("/caller", ConnectionPolicy.KEEP_ALIVE).text();
        String closedConnectionPort = get("/caller", ConnectionPolicy.CLOSE).text();
        assertNotEquals(keptConnectionPort, closedConnectionPort);
        assertEquals(
                keptConnectionPort, get("/caller", ConnectionPolicy.KEEP_ALIVE).text());
    }

    @Test
    void callWithoutResponseTimesOut() throws Exception {
        long startMicros = loop.nowMicros();
        HttpResponse response =
                call(OutgoingRequest.get(address, "/silent", ConnectionPolicy.KEEP_ALIVE), SHORT_TIMEOUT_MICROS);
        assertTrue(response.isMissing());
        assertTrue(loop.nowMicros() - startMicros >= SHORT_TIMEOUT_MICROS);
    }

    @Test
    void connectionOfATimedOutCallIsNotReused() throws Exception {
        String keptConnectionPort = get("/caller", ConnectionPolicy.KEEP_ALIVE).text();
        call(OutgoingRequest.get(address, "/silent", ConnectionPolicy.KEEP_ALIVE), SHORT_TIMEOUT_MICROS);
        assertNotEquals(
                keptConnectionPort, get("/caller", ConnectionPolicy.KEEP_ALIVE).text());
    }

    @Test
    void callToAClosedPortEndsWithoutResponse() throws Exception {
        listener.stopListening();
        assertTrue(get("/echo", ConnectionPolicy.KEEP_ALIVE).isMissing());
    }

    @Test
    void failingHandlerDoesNotAffectOtherRequests() throws Exception {
        call(OutgoingRequest.get(address, "/failing", ConnectionPolicy.CLOSE), SHORT_TIMEOUT_MICROS);
        assertEquals(409, get("/refused", ConnectionPolicy.CLOSE).status());
    }
}
