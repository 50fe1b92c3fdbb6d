package org.granitepath.transport;

import java.util.function.Consumer;

/** Calls to one service that takes and answers JSON objects. */
final class JsonClient {
    private final HttpCalls http;
    private final String address;
    private final ConnectionPolicy connectionPolicy;
    private final long timeoutMicros;

    /** @param timeoutMicros how long a call may take that does not say otherwise */
    JsonClient(HttpCalls http, String address, ConnectionPolicy connectionPolicy, long timeoutMicros) {
        this.http = http;
        this.address = address;
        this.connectionPolicy = connectionPolicy;
        this.timeoutMicros = timeoutMicros;
    }

    void get(String path, Consumer<HttpResponse> then) {
        get(path, timeoutMicros, then);
    }

    void get(String path, long callTimeoutMicros, Consumer<HttpResponse> then) {
        http.call(OutgoingRequest.get(address, path, connectionPolicy), callTimeoutMicros, then);
    }

    void post(String path, String body, Consumer<HttpResponse> then) {
        post(path, body, timeoutMicros, then);
    }

    void post(String path, String body, long callTimeoutMicros, Consumer<HttpResponse> then) {
        http.call(OutgoingRequest.postJson(address, path, body, connectionPolicy), callTimeoutMicros, then);
    }
}
