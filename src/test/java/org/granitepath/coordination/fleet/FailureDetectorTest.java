package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.PeerPort.PeerStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What overdue heartbeats mean: that machines failed, that a zone is cut off, or that we are. */
class FailureDetectorTest {
    private static final long SECOND = 1_000_000;
    /** Longer than a heartbeat may take, and shorter than what makes a machine unresponsive. */
    private static final long OVERDUE = 2 * SECOND;

    private static final String OWN_ZONE = "zone-c1";
    private static final String PEER_ZONE = "zone-c2";
    private static final int NO_STATUS = -1;

    private final ManualTimers timers = new ManualTimers();
    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final Fleet fleet = new Fleet(config, timers);
    /** Told by the test how its peer is, so it asks nobody. */
    private final Peers peers = new Peers(config, null, timers, () -> null);

    private final FailureDetector detector = new FailureDetector(config, fleet, peers);

    /** So many machines stand in the zone, and the heartbeats of so many of them are overdue. */
    private void machines(String zone, int count, int overdue) {
        for (int number = 0; number < count; number++) {
            Machine machine = Fixtures.machine(zone + "-" + number, zone);
            machine.recordHeartbeat(false, timers.nowMicros() - (number < overdue ? OVERDUE : 0));
            fleet.add(machine);
        }
        detector.update(timers.nowMicros());
    }

    private void allHeartbeatsCome() {
        fleet.machines().forEach(machine -> machine.recordHeartbeat(false, timers.nowMicros()));
        detector.update(timers.nowMicros());
    }

    private boolean cutOff(String zone) {
        return detector.isZonePartitioned(zone, timers.nowMicros());
    }

    private Machine machineIn(String zone) {
        return fleet.machine(zone + "-0");
    }

    @Test
    void theZoneWhoseMachinesAreMostlyOverdueIsCutOff() {
        machines(OWN_ZONE, 10, 0);
        machines(PEER_ZONE, 10, 7);
        assertTrue(cutOff(PEER_ZONE));
        assertFalse(cutOff(OWN_ZONE));
    }

    @Test
    void whereOthersAreOverdueTooNoZoneIsCutOff() {
        machines(OWN_ZONE, 10, 3);
        machines(PEER_ZONE, 10, 7);
        assertFalse(cutOff(PEER_ZONE));
    }

    @Test
    void aZoneThatWasCutOffIsAvoidedForALease() {
        machines(OWN_ZONE, 10, 0);
        machines(PEER_ZONE, 10, 7);
        allHeartbeatsCome();
        timers.advance(config.workers().leaseMicros() - 1);
        assertTrue(cutOff(PEER_ZONE));
        timers.advance(1);
        assertFalse(cutOff(PEER_ZONE));
    }

    @Test
    void workMayGoOnInACutOffZoneWhereAnotherControllerStands() {
        machines(OWN_ZONE, 10, 0);
        machines(PEER_ZONE, 10, 10);
        assertTrue(detector.isPartitionedWithPeer(machineIn(PEER_ZONE), timers.nowMicros()));
        assertFalse(detector.isPartitionedWithPeer(machineIn(OWN_ZONE), timers.nowMicros()), "not cut off");
    }

    @Test
    void workEndsInACutOffZoneWithoutAnotherController() {
        machines(PEER_ZONE, 10, 0);
        machines(OWN_ZONE, 10, 10);
        assertTrue(cutOff(OWN_ZONE));
        assertFalse(detector.isPartitionedWithPeer(machineIn(OWN_ZONE), timers.nowMicros()));
    }

    @ParameterizedTest(name = "{0} of 10 overdue: given up after {1} s")
    @CsvSource({"0, 3", "2, 3", "3, 4"})
    void machinesOfASuspectedZoneAreGivenUpOneHeartbeatLater(int overdue, long timeoutSeconds) {
        machines(OWN_ZONE, 10, overdue);
        assertEquals(timeoutSeconds * SECOND, detector.unresponsiveTimeoutMicros(machineIn(OWN_ZONE)));
    }

    @ParameterizedTest(name = "{0} of 20 overdue, {1} sent on by a peer: {2}")
    @CsvSource({
        "4, -1, true", // few, whatever peers tell
        "5, -1, false", // no peer tells
        "8, 1, true", // the peer misses them too
        "8, 2, false", // the peer receives some of them
        "10, 0, true", // half of all
        "11, 0, false", // more than half of all
    })
    void machinesAreJudgedUnlessWeMayBeTheOnesCutOff(int overdue, int redirectedByPeer, boolean canJudge) {
        machines(OWN_ZONE, 20, overdue);
        if (redirectedByPeer != NO_STATUS) {
            peers.handleStatus(new PeerStatus("c2", 0, false, redirectedByPeer));
        }
        assertEquals(canJudge, detector.canTrustMissedHeartbeats());
    }

    @Test
    void twoOverdueMachinesAreFewHoweverSmallTheFleetIs() {
        machines(OWN_ZONE, 2, 2);
        assertTrue(detector.canTrustMissedHeartbeats());
    }
}
