package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how a start is sent, whether it may be carried out late, and what proves where the attempt is. */
class StartDeliveryTest {
    private final StartDelivery delivery = StartDelivery.notSent();

    @Test
    void unsentAttemptIsNeitherListedNorElsewhere() {
        assertFalse(delivery.hasBeenListed());
        assertTrue(delivery.isOnlyOnThisMachine());
        assertFalse(delivery.isSentInResponse());
        assertFalse(delivery.hasUnacknowledgedStart(0));
    }

    @ParameterizedTest(name = "started under token 7, asked for token {0}: {1}")
    @CsvSource({"6, true", "7, true", "8, false"})
    void unansweredDirectStartMayBeCarriedOutUnderItsTokenOrOlderOne(long token, boolean expected) {
        delivery.markSentDirectly(7);
        assertEquals(expected, delivery.hasUnacknowledgedStart(token));
    }

    @ParameterizedTest(name = "started under token 7, answered under token {0}: {1}")
    @CsvSource({"6, true", "7, false", "8, true"})
    void onlyAnswerToLatestCallCounts(long answered, boolean mayStillBeStarted) {
        delivery.markSentDirectly(7);
        delivery.acknowledge(answered);
        assertEquals(mayStillBeStarted, delivery.hasUnacknowledgedStart(7));
    }

    @Test
    void startInHeartbeatResponseLeavesEarlierDirectStartUnanswered() {
        delivery.markSentDirectly(7);
        delivery.markSentInResponse();
        assertTrue(delivery.isSentInResponse());
        assertTrue(delivery.hasUnacknowledgedStart(7));
    }

    @Test
    void directStartReplacesStartInHeartbeatResponse() {
        delivery.markSentInResponse();
        delivery.markSentDirectly(7);
        assertFalse(delivery.isSentInResponse());
    }

    @Test
    void listedAttemptHasArrived() {
        delivery.markSentDirectly(7);
        delivery.markListed(false);
        assertTrue(delivery.hasBeenListed());
        assertFalse(delivery.hasUnacknowledgedStart(7));
    }

    @ParameterizedTest(name = "adopted under the current token: {0}")
    @CsvSource({"true", "false"})
    void adoptedAttemptCountsAsListed(boolean underCurrentToken) {
        StartDelivery adopted = StartDelivery.adopted(underCurrentToken);
        assertTrue(adopted.hasBeenListed());
        assertEquals(underCurrentToken, adopted.isOnlyOnThisMachine());
    }

    @Test
    void adoptedAttemptIsOnNoOtherMachineOnceListedUnderCurrentToken() {
        StartDelivery adopted = StartDelivery.adopted(false);
        adopted.markListed(false);
        assertFalse(adopted.isOnlyOnThisMachine());
        adopted.markListed(true);
        assertTrue(adopted.isOnlyOnThisMachine());
        adopted.markListed(false);
        assertTrue(adopted.isOnlyOnThisMachine(), "a proof stays valid");
    }
}
