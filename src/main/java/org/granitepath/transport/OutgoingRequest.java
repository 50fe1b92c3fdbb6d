package org.granitepath.transport;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** An HTTP request to another process, with the policy for its connection. Immutable. */
public final class OutgoingRequest {
    private static final String JSON_TYPE = "application/json";

    private final String address;
    private final HttpString method;
    private final String path;
    private final ConnectionPolicy connectionPolicy;
    private final String contentType;
    private final byte @Nullable [] body;

    private OutgoingRequest(
            String address,
            HttpString method,
            String path,
            ConnectionPolicy connectionPolicy,
            String contentType,
            byte @Nullable [] body) {
        this.address = address;
        this.method = method;
        this.path = path;
        this.connectionPolicy = connectionPolicy;
        this.contentType = contentType;
        this.body = body;
    }

    /**
     * Creates a GET request without a body.
     *
     * @param address HOST:PORT of the server
     * @param path the path with its query, already encoded
     */
    public static OutgoingRequest get(String address, String path, ConnectionPolicy connectionPolicy) {
        return new OutgoingRequest(address, Methods.GET, path, connectionPolicy, JSON_TYPE, null);
    }

    /** Creates a POST request whose body is JSON text. */
    public static OutgoingRequest postJson(
            String address, String path, String json, ConnectionPolicy connectionPolicy) {
        return post(address, path, JSON_TYPE, json.getBytes(StandardCharsets.UTF_8), connectionPolicy);
    }

    /** Creates a POST request with a body of any type. The array is not copied, so the caller must not change it. */
    static OutgoingRequest post(
            String address, String path, String contentType, byte[] body, ConnectionPolicy connectionPolicy) {
        return new OutgoingRequest(address, Methods.POST, path, connectionPolicy, contentType, body);
    }

    /** Returns HOST:PORT of the server. */
    String address() {
        return address;
    }

    /** Returns whether the request may use a pooled connection and returns its connection to the pool. */
    boolean usesPooledConnection() {
        return connectionPolicy == ConnectionPolicy.KEEP_ALIVE;
    }

    /** Returns the body; null if there is none. */
    byte @Nullable [] body() {
        return body;
    }

    /** Returns the head of the request for Undertow's client. The caller writes the body separately. */
    ClientRequest toClientRequest() {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address);
        if (connectionPolicy == ConnectionPolicy.CLOSE) {
            request.getRequestHeaders().put(Headers.CONNECTION, "close");
        }
        if (body != null) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, contentType);
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
        }
        return request;
    }

    /** Returns method, address and path, for log lines. */
    @Override
    public String toString() {
        return method + " " + address + path;
    }
}
