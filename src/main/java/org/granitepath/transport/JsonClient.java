package org.granitepath.transport;

import java.util.function.Consumer;

/** HTTP client of one server whose requests and responses are JSON objects. */
final class JsonClient {
    private final HttpCalls http;
    private final String address;
    private final ConnectionPolicy connectionPolicy;
    private final long timeoutMicros;

    /**
     * Creates a client.
     *
     * @param address HOST:PORT of the server
     * @param timeoutMicros the timeout in microseconds of calls that do not name another
     */
    JsonClient(HttpCalls http, String address, ConnectionPolicy connectionPolicy, long timeoutMicros) {
        this.http = http;
        this.address = address;
        this.connectionPolicy = connectionPolicy;
        this.timeoutMicros = timeoutMicros;
    }

    /** Sends a GET request with the default timeout. */
    void get(String path, Consumer<HttpResponse> then) {
        get(path, timeoutMicros, then);
    }

    /** Sends a GET request with the given timeout in microseconds. */
    void get(String path, long callTimeoutMicros, Consumer<HttpResponse> then) {
        http.call(OutgoingRequest.get(address, path, connectionPolicy), callTimeoutMicros, then);
    }

    /** Sends a POST request with the default timeout. */
    void post(String path, String body, Consumer<HttpResponse> then) {
        post(path, body, timeoutMicros, then);
    }

    /** Sends a POST request with the given timeout in microseconds. */
    void post(String path, String body, long callTimeoutMicros, Consumer<HttpResponse> then) {
        http.call(OutgoingRequest.postJson(address, path, body, connectionPolicy), callTimeoutMicros, then);
    }
}
