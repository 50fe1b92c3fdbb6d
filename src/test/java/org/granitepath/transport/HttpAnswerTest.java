package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.granitepath.protocol.HttpStatus;
import org.junit.jupiter.api.Test;

class HttpAnswerTest {
    private static HttpAnswer answer(int status, String body) {
        return HttpAnswer.of(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aCallWithoutAnAnswerHasNoBody() {
        assertTrue(HttpAnswer.MISSING.isMissing());
        assertNull(HttpAnswer.MISSING.body());
        assertNull(HttpAnswer.MISSING.text());
        assertNull(HttpAnswer.MISSING.json());
        assertNull(HttpAnswer.MISSING.jsonIfOk());
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
