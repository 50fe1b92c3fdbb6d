package org.granitepath.transport;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.Json;
import org.jspecify.annotations.Nullable;

/** Calls to one service that takes and answers JSON objects. */
final class JsonClient {
    private final HttpCalls http;
    private final String address;
    private final HttpCalls.AfterCall afterCall;
    private final long timeoutMicros;

    /** @param timeoutMicros how long a call may take that does not say otherwise */
    JsonClient(HttpCalls http, String address, HttpCalls.AfterCall afterCall, long timeoutMicros) {
        this.http = http;
        this.address = address;
        this.afterCall = afterCall;
        this.timeoutMicros = timeoutMicros;
    }

    /** How a call ended; its body is decoded on request only. */
    record Answer(int status, @Nullable String text) {
        boolean isOk() {
            return status == HttpStatus.OK;
        }

        boolean isMissing() {
            return status == HttpStatus.NO_ANSWER;
        }

        /** The body, or null when there was no answer or its body is no JSON object. */
        @Nullable
        Map<String, Object> body() {
            return isMissing() || text == null ? null : Json.object(text);
        }

        /** The body, or null when the status is another than OK or the body is no JSON object. */
        @Nullable
        Map<String, Object> bodyIfOk() {
            return isOk() && text != null ? Json.object(text) : null;
        }
    }

    void get(String path, Consumer<Answer> then) {
        get(path, timeoutMicros, then);
    }

    void get(String path, long callTimeoutMicros, Consumer<Answer> then) {
        call(Methods.GET, path, null, callTimeoutMicros, then);
    }

    void post(String path, String body, Consumer<Answer> then) {
        post(path, body, timeoutMicros, then);
    }

    void post(String path, String body, long callTimeoutMicros, Consumer<Answer> then) {
        call(Methods.POST, path, body, callTimeoutMicros, then);
    }

    private void call(
            HttpString method, String path, @Nullable String body, long callTimeoutMicros, Consumer<Answer> then) {
        http.call(
                address,
                method,
                path,
                body,
                callTimeoutMicros,
                afterCall,
                (status, text) -> then.accept(new Answer(status, text)));
    }
}
