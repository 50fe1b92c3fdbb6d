package org.granitepath.transport;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.Json;
import org.jspecify.annotations.Nullable;

/** How a call ended: with a status and a body, or without an answer. The body is decoded on request only. */
public final class HttpResponse {
    /** The call failed or timed out; whether the request was carried out is not known. */
    static final HttpResponse NONE = new HttpResponse(HttpStatus.NO_RESPONSE, null);

    private final int status;
    private final byte @Nullable [] body;

    private HttpResponse(int status, byte @Nullable [] body) {
        this.status = status;
        this.body = body;
    }

    /** An answer that came. The array is not copied. */
    static HttpResponse of(int status, byte[] body) {
        return new HttpResponse(status, body);
    }

    /** The HTTP status; {@link HttpStatus#NO_RESPONSE} when there was no answer. */
    int status() {
        return status;
    }

    boolean isOk() {
        return status == HttpStatus.OK;
    }

    boolean isMissing() {
        return status == HttpStatus.NO_RESPONSE;
    }

    /** The body as it came; null when there was no answer. */
    byte @Nullable [] body() {
        return body;
    }

    /** The body as text; null when there was no answer. */
    @Nullable
    String text() {
        return body == null ? null : new String(body, StandardCharsets.UTF_8);
    }

    /** The body as a JSON object; null when there was no answer or its body is no JSON object. */
    @Nullable
    Map<String, Object> json() {
        String text = text();
        return isMissing() || text == null ? null : Json.decodeObject(text);
    }

    /** The body as a JSON object; null when the status is another than OK or the body is no JSON object. */
    @Nullable
    Map<String, Object> jsonIfOk() {
        return isOk() ? json() : null;
    }
}
