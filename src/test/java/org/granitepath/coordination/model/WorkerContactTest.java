package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the effect of heartbeats, direct calls and lease expiry on what is known of a worker. */
class WorkerContactTest {
    private final Machine machine = Fixtures.machine("i-1", "north");
    private final WorkerContact contact = machine.contact();

    @Test
    void newContactKnowsNothingOfWorker() {
        assertTrue(contact.agentEpoch() < 0);
        assertTrue(contact.sequence() < 0);
        assertFalse(contact.isFenced());
        assertFalse(contact.hasCallInFlight());
        assertFalse(contact.hasProbeFailed());
    }

    @Test
    void messageSetsEpochAndSequence() {
        contact.recordMessage(Fixtures.heartbeat(machine, 4, 12));
        assertEquals(4, contact.agentEpoch());
        assertEquals(12, contact.sequence());
    }

    @Test
    void heartbeatClearsFailedProbeAndFence() {
        contact.beginCall(2 * SECOND);
        contact.endCall();
        contact.recordCallResult(false);
        contact.fence();
        assertTrue(contact.hasProbeFailed());
        assertTrue(contact.isFenced());
        contact.recordHeartbeat(3 * SECOND);
        assertFalse(contact.hasProbeFailed());
        assertFalse(contact.isFenced());
        assertEquals(3 * SECOND, contact.lastHeartbeatMicros());
    }

    @Test
    void callClearsFenceBecauseItCarriesToken() {
        contact.fence();
        contact.beginCall(2 * SECOND);
        assertFalse(contact.isFenced());
        assertTrue(contact.hasCallInFlight());
        assertEquals(2 * SECOND, contact.lastCallMicros());
        contact.endCall();
        assertFalse(contact.hasCallInFlight());
    }

    @Test
    void heartbeatDuringCallPreventsFailedProbe() {
        contact.beginCall(2 * SECOND);
        contact.recordHeartbeat(3 * SECOND);
        contact.endCall();
        contact.recordCallResult(false);
        assertFalse(contact.hasProbeFailed());
    }

    @Test
    void callResponseDoesNotCountAsHeartbeat() {
        contact.recordHeartbeat(SECOND);
        contact.beginCall(2 * SECOND);
        contact.endCall();
        contact.recordCallResult(true);
        assertFalse(contact.hasProbeFailed());
        assertEquals(SECOND, contact.lastHeartbeatMicros());
    }

    @Test
    void onlyMessageUnderCurrentTokenShortensLease() {
        contact.setLeaseExpiry(30 * SECOND, true);
        contact.setLeaseExpiry(20 * SECOND, false);
        assertEquals(30 * SECOND, contact.leaseExpiryMicros());
        contact.setLeaseExpiry(40 * SECOND, false);
        assertEquals(40 * SECOND, contact.leaseExpiryMicros());
        contact.setLeaseExpiry(20 * SECOND, true);
        assertEquals(20 * SECOND, contact.leaseExpiryMicros());
    }

    @Test
    void leaseExpiryAdvancesAgentEpochAndForgetsDirectStarts() {
        contact.recordMessage(Fixtures.heartbeat(machine, 4, 12));
        contact.setLeaseExpiry(30 * SECOND, true);
        contact.recordDirectStart(9, 7);
        contact.expireLease();
        assertEquals(5, contact.agentEpoch());
        assertTrue(contact.sequence() < 0, "any message of the later epoch is newer");
        assertEquals(0, contact.leaseExpiryMicros());
        assertFalse(contact.canBeStartedAgain(9, 7));
    }

    @Test
    void leaseExpiryBeforeAnyMessageSetsAgentEpochToOne() {
        contact.expireLease();
        assertEquals(1, contact.agentEpoch());
    }

    @Test
    void lateCopyOfDirectStartIsCarriedOutUnderItsTokenOrOlderOne() {
        contact.recordDirectStart(9, 7);
        assertTrue(contact.canBeStartedAgain(9, 6));
        assertTrue(contact.canBeStartedAgain(9, 7));
        assertFalse(contact.canBeStartedAgain(9, 8));
        assertFalse(contact.canBeStartedAgain(10, 7));
        contact.forgetDirectStart(9);
        assertFalse(contact.canBeStartedAgain(9, 7));
    }

    @Test
    void workerIsUnresponsiveAfterTwoHeartbeatsAndMargin() {
        contact.recordHeartbeat(10 * SECOND);
        assertFalse(contact.isUnresponsive(21 * SECOND, 5 * SECOND));
        assertTrue(contact.isUnresponsive(21 * SECOND + 1, 5 * SECOND));
    }

    @Test
    void pauseIsExcludedButNeverMovesHeartbeatIntoFuture() {
        contact.recordHeartbeat(10 * SECOND);
        contact.compensateForPause(4 * SECOND, 20 * SECOND);
        assertEquals(14 * SECOND, contact.lastHeartbeatMicros());
        contact.compensateForPause(60 * SECOND, 20 * SECOND);
        assertEquals(20 * SECOND, contact.lastHeartbeatMicros());
    }
}
