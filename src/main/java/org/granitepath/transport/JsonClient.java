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
     * @param timeoutMicros the default timeout of a call, in microseconds
     */
    JsonClient(HttpCalls http, String address, ConnectionPolicy connectionPolicy, long timeoutMicros) {
        this.http = http;
        this.address = address;
        this.connectionPolicy = connectionPolicy;
        this.timeoutMicros = timeoutMicros;
    }

    /** Sends a GET request with the default timeout. */
    void get(String path, Consumer<HttpResponse> callback) {
        get(path, timeoutMicros, callback);
    }

    /** Sends a GET request with the given timeout in microseconds. */
    void get(String path, long callTimeoutMicros, Consumer<HttpResponse> callback) {
        http.call(OutgoingRequest.get(address, path, connectionPolicy), callTimeoutMicros, callback);
    }

    /** Sends a POST request with the default timeout. */
    void post(String path, String body, Consumer<HttpResponse> callback) {
        post(path, body, timeoutMicros, callback);
    }

    /** Sends a POST request with the given timeout in microseconds. */
    void post(String path, String body, long callTimeoutMicros, Consumer<HttpResponse> callback) {
        http.call(OutgoingRequest.postJson(address, path, body, connectionPolicy), callTimeoutMicros, callback);
    }
}
