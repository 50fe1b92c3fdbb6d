package org.granitepath.transport;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** A request to another program, and what becomes of its connection. It does not change once it is made. */
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
     * A request without a body.
     *
     * @param address HOST:PORT of the program that is asked
     * @param path the path with its query, encoded as it is to be sent
     */
    public static OutgoingRequest get(String address, String path, ConnectionPolicy connectionPolicy) {
        return new OutgoingRequest(address, Methods.GET, path, connectionPolicy, JSON_TYPE, null);
    }

    /** A request with a JSON text for its body. */
    public static OutgoingRequest postJson(
            String address, String path, String json, ConnectionPolicy connectionPolicy) {
        return post(address, path, JSON_TYPE, json.getBytes(StandardCharsets.UTF_8), connectionPolicy);
    }

    /** A request with a body of any type. The array is not copied: the caller leaves it alone from here on. */
    static OutgoingRequest post(
            String address, String path, String contentType, byte[] body, ConnectionPolicy connectionPolicy) {
        return new OutgoingRequest(address, Methods.POST, path, connectionPolicy, contentType, body);
    }

    String address() {
        return address;
    }

    /** Whether the connection is kept for later calls to the address, and may be one that an earlier call left. */
    boolean sharesConnection() {
        return connectionPolicy == ConnectionPolicy.KEEP_ALIVE;
    }

    byte @Nullable [] body() {
        return body;
    }

    /** The request as Undertow's client sends it; the body is written apart. */
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

    /** Method, address and path, for the log. */
    @Override
    public String toString() {
        return method + " " + address + path;
    }
}
