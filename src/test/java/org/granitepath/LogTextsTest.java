package org.granitepath;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that {@link LogTexts} finds the messages that a small source file can log, and no others. */
class LogTextsTest {
    private static final LogTexts LOG_TEXTS = LogTexts.of(List.of("""
            enum Phase { READY, DRAINING; }
            enum StopReason { LATE("too late"), IDLE("has no work"); }
            enum Label { OTHER("a label"); }
            void drain(String why) {
                LOG.info("machine {}: {} -> {} ({})", id, phase, next, why); // it's "logged" here
            }
            void all() {
                drain("faulty: " + count + " jobs");
                drain(late ? "silent" : "drained");
                LOG.debug(
                        "{} values hold more than "
                                + "one transaction", count);
                other("not logged");
            }
            """));

    @ParameterizedTest
    @ValueSource(
            strings = {
                "N values hold more than one",
                "machine … DRAINING",
                "READY (silent)",
                "DRAINING (faulty…)",
                "drained",
                "READY (too late)"
            })
    void formatsWithReasonsAndStatesAreFound(String quoted) {
        assertTrue(LOG_TEXTS.has(quoted));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "not logged",
                "logged",
                "RETURNING",
                "values … split",
                "machine is READY",
                "DRAINING (idle)",
                "a label",
                "…"
            })
    void otherTextsAreNotFound(String quoted) {
        assertFalse(LOG_TEXTS.has(quoted));
    }
}
