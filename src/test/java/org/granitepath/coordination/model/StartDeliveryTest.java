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
        assertFalse(delivery.hasBeenListed());
        assertTrue(delivery.isOnlyOnThisMachine());
        assertFalse(delivery.isSentInResponse());
        assertFalse(delivery.hasUnacknowledgedStart(0));
    }

    @ParameterizedTest(name = "started under token 7, asked for token {0}: {1}")
    @CsvSource({"6, true", "7, true", "8, false"})
    void aDirectStartWithoutAnAnswerMayBeCarriedOutUnderItsTokenOrAnOlderOne(long token, boolean expected) {
        delivery.markSentDirectly(7);
        assertEquals(expected, delivery.hasUnacknowledgedStart(token));
    }

    @ParameterizedTest(name = "started under token 7, answered under token {0}: {1}")
    @CsvSource({"6, true", "7, false", "8, true"})
    void onlyTheAnswerToTheLatestCallCounts(long answered, boolean mayStillBeStarted) {
        delivery.markSentDirectly(7);
        delivery.acknowledge(answered);
        assertEquals(mayStillBeStarted, delivery.hasUnacknowledgedStart(7));
    }

    @Test
    void aStartInAnAnswerLeavesAnEarlierDirectOneUnanswered() {
        delivery.markSentDirectly(7);
        delivery.markSentInResponse();
        assertTrue(delivery.isSentInResponse());
        assertTrue(delivery.hasUnacknowledgedStart(7));
    }

    @Test
    void aDirectStartTakesThePlaceOfOneInAnAnswer() {
        delivery.markSentInResponse();
        delivery.markSentDirectly(7);
        assertFalse(delivery.isSentInResponse());
    }

    @Test
    void whatIsListedHasArrived() {
        delivery.markSentDirectly(7);
        delivery.markListed(false);
        assertTrue(delivery.hasBeenListed());
        assertFalse(delivery.hasUnacknowledgedStart(7));
    }

    @ParameterizedTest(name = "adopted under the present token: {0}")
    @CsvSource({"true", "false"})
    void anAdoptedAttemptWasSeen(boolean underPresentToken) {
        StartDelivery adopted = StartDelivery.adopted(underPresentToken);
        assertTrue(adopted.hasBeenListed());
        assertEquals(underPresentToken, adopted.isOnlyOnThisMachine());
    }

    @Test
    void anAdoptedAttemptIsOnlyHereOnceItIsListedUnderThePresentToken() {
        StartDelivery adopted = StartDelivery.adopted(false);
        adopted.markListed(false);
        assertFalse(adopted.isOnlyOnThisMachine());
        adopted.markListed(true);
        assertTrue(adopted.isOnlyOnThisMachine());
        adopted.markListed(false);
        assertTrue(adopted.isOnlyOnThisMachine(), "what was proved once stays so");
    }
}
