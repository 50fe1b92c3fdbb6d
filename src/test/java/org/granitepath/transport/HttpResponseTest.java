package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.granitepath.protocol.HttpStatus;
import org.junit.jupiter.api.Test;

class HttpResponseTest {
    private static HttpResponse answer(int status, String body) {
        return HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aCallWithoutAnAnswerHasNoBody() {
        assertTrue(HttpResponse.NONE.isMissing());
        assertNull(HttpResponse.NONE.body());
        assertNull(HttpResponse.NONE.text());
        assertNull(HttpResponse.NONE.json());
        assertNull(HttpResponse.NONE.jsonIfOk());
    }

    @Test
    void aBodyIsDecodedWhateverTheStatus() {
        assertEquals(
                Map.of("error", "busy"),
                answer(HttpStatus.CONFLICT, "{\"error\":\"busy\"}").json());
    }

    @Test
    void aBodyOfARefusalIsNoResult() {
        assertNull(answer(HttpStatus.CONFLICT, "{\"error\":\"busy\"}").jsonIfOk());
        assertEquals(Map.of("a", 1), answer(HttpStatus.OK, "{\"a\":1}").jsonIfOk());
    }

    @Test
    void aBodyThatIsNoObjectCannotBeDecoded() {
        assertNull(answer(HttpStatus.OK, "[]").json());
        assertEquals("[]", answer(HttpStatus.OK, "[]").text());
    }
}
