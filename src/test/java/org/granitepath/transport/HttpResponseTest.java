package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.granitepath.protocol.HttpStatus;
import org.junit.jupiter.api.Test;

/** The body of an {@link HttpResponse} by status and content. */
class HttpResponseTest {
    private static HttpResponse response(int status, String body) {
        return HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void missingResponseHasNoBody() {
        assertTrue(HttpResponse.NONE.isMissing());
        assertNull(HttpResponse.NONE.body());
        assertNull(HttpResponse.NONE.text());
        assertNull(HttpResponse.NONE.json());
        assertNull(HttpResponse.NONE.jsonIfOk());
    }

    @Test
    void bodyIsDecodedForAnyStatus() {
        assertEquals(
                Map.of("error", "busy"),
                response(HttpStatus.CONFLICT, "{\"error\":\"busy\"}").json());
    }

    @Test
    void bodyOfAnErrorStatusIsNotReturnedAsAResult() {
        assertNull(response(HttpStatus.CONFLICT, "{\"error\":\"busy\"}").jsonIfOk());
        assertEquals(Map.of("a", 1), response(HttpStatus.OK, "{\"a\":1}").jsonIfOk());
    }

    @Test
    void bodyThatIsNotAJsonObjectIsOnlyText() {
        assertNull(response(HttpStatus.OK, "[]").json());
        assertEquals("[]", response(HttpStatus.OK, "[]").text());
    }
}
