package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How a start went out, whether it may be carried out late, and what proves where the attempt is. */
class StartDeliveryTest {
    private final StartDelivery delivery = StartDelivery.notSent();

    @Test
    void whatWasNotSentIsNeitherSeenNorAnywhereElse() {
        assertFalse(delivery.seen());
        assertTrue(delivery.onlyHere());
        assertFalse(delivery.wentOutInAnswer());
        assertFalse(delivery.mayStillBeStarted(0));
    }

    @ParameterizedTest(name = "started under token 7, asked for token {0}: {1}")
    @CsvSource({"6, true", "7, true", "8, false"})
    void aDirectStartWithoutAnAnswerMayBeCarriedOutUnderItsTokenOrAnOlderOne(long token, boolean expected) {
        delivery.sentDirectly(7);
        assertEquals(expected, delivery.mayStillBeStarted(token));
    }

    @ParameterizedTest(name = "started under token 7, answered under token {0}: {1}")
    @CsvSource({"6, true", "7, false", "8, true"})
    void onlyTheAnswerToTheLatestCallCounts(long answered, boolean mayStillBeStarted) {
        delivery.sentDirectly(7);
        delivery.answered(answered);
        assertEquals(mayStillBeStarted, delivery.mayStillBeStarted(7));
    }

    @Test
    void aStartInAnAnswerLeavesAnEarlierDirectOneUnanswered() {
        delivery.sentDirectly(7);
        delivery.sentInAnswer();
        assertTrue(delivery.wentOutInAnswer());
        assertTrue(delivery.mayStillBeStarted(7));
    }

    @Test
    void aDirectStartTakesThePlaceOfOneInAnAnswer() {
        delivery.sentInAnswer();
        delivery.sentDirectly(7);
        assertFalse(delivery.wentOutInAnswer());
    }

    @Test
    void whatIsListedHasArrived() {
        delivery.sentDirectly(7);
        delivery.listed(false);
        assertTrue(delivery.seen());
        assertFalse(delivery.mayStillBeStarted(7));
    }

    @ParameterizedTest(name = "adopted under the present token: {0}")
    @CsvSource({"true", "false"})
    void anAdoptedAttemptWasSeen(boolean underPresentToken) {
        StartDelivery adopted = StartDelivery.adopted(underPresentToken);
        assertTrue(adopted.seen());
        assertEquals(underPresentToken, adopted.onlyHere());
    }

    @Test
    void anAdoptedAttemptIsOnlyHereOnceItIsListedUnderThePresentToken() {
        StartDelivery adopted = StartDelivery.adopted(false);
        adopted.listed(false);
        assertFalse(adopted.onlyHere());
        adopted.listed(true);
        assertTrue(adopted.onlyHere());
        adopted.listed(false);
        assertTrue(adopted.onlyHere(), "what was proved once stays so");
    }
}
