package org.granitepath.transport;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.Json;
import org.jspecify.annotations.Nullable;

/** The outcome of an HTTP call: a status and a body, or no response. The body is decoded only on request. */
public final class HttpResponse {
    /** The call failed or timed out. Whether the server processed the request is unknown. */
    static final HttpResponse NONE = new HttpResponse(HttpStatus.NO_RESPONSE, null);

    private final int status;
    private final byte @Nullable [] body;

    private HttpResponse(int status, byte @Nullable [] body) {
        this.status = status;
        this.body = body;
    }

    /** Creates a response that was received. The array is not copied, so the caller must not change it. */
    static HttpResponse of(int status, byte[] body) {
        return new HttpResponse(status, body);
    }

    /** Returns the HTTP status, {@link HttpStatus#NO_RESPONSE} if there was no response. */
    int status() {
        return status;
    }

    /** Returns whether the status is 200 OK. */
    boolean isOk() {
        return status == HttpStatus.OK;
    }

    /** Returns whether the call ended without a response. */
    boolean isMissing() {
        return status == HttpStatus.NO_RESPONSE;
    }

    /** Returns the body as received; null if there was no response. */
    byte @Nullable [] body() {
        return body;
    }

    /** Returns the body as UTF-8 text; null if there was no response. */
    @Nullable
    String text() {
        return body == null ? null : new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the body as a JSON object; null if there was no response or the body is not a JSON object. */
    @Nullable
    Map<String, Object> json() {
        String text = text();
        return isMissing() || text == null ? null : Json.decodeObject(text);
    }

    /** Returns the body as a JSON object; null if the status is not 200 OK or the body is not a JSON object. */
    @Nullable
    Map<String, Object> jsonIfOk() {
        return isOk() ? json() : null;
    }
}
