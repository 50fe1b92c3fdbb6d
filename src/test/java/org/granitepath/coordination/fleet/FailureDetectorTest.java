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

/** Tests how overdue heartbeats are attributed to failed machines, a partitioned zone or a partitioned controller. */
class FailureDetectorTest {
    private static final long SECOND_MICROS = 1_000_000;
    /**
     * Longer than the age at which a heartbeat is overdue, and shorter than that at which a machine is unresponsive.
     */
    private static final long OVERDUE_MICROS = 2 * SECOND_MICROS;

    private static final String OWN_ZONE = "zone-c1";
    private static final String PEER_ZONE = "zone-c2";
    private static final int NO_PEER_STATUS = -1;

    private final ManualTimers timers = new ManualTimers();
    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final Fleet fleet = new Fleet(config, timers);
    /** Gets the status of the peer from the test, so it needs no port to exchange status messages. */
    private final Peers peers = new Peers(config, null, timers, () -> null);

    private final FailureDetector detector = new FailureDetector(config, fleet, peers);

    /** Adds this many machines to the zone; the heartbeats of the first {@code overdue} of them are overdue. */
    private void addMachines(String zone, int count, int overdue) {
        for (int number = 0; number < count; number++) {
            Machine machine = Fixtures.machine(zone + "-" + number, zone);
            machine.recordHeartbeat(false, timers.nowMicros() - (number < overdue ? OVERDUE_MICROS : 0));
            fleet.add(machine);
        }
        detector.update(timers.nowMicros());
    }

    private void receiveAllHeartbeats() {
        fleet.machines().forEach(machine -> machine.recordHeartbeat(false, timers.nowMicros()));
        detector.update(timers.nowMicros());
    }

    private boolean isPartitioned(String zone) {
        return detector.isZonePartitioned(zone, timers.nowMicros());
    }

    private Machine machineIn(String zone) {
        return fleet.machine(zone + "-0");
    }

    @Test
    void zoneWithMostlyOverdueMachinesIsPartitioned() {
        addMachines(OWN_ZONE, 10, 0);
        addMachines(PEER_ZONE, 10, 7);
        assertTrue(isPartitioned(PEER_ZONE));
        assertFalse(isPartitioned(OWN_ZONE));
    }

    @Test
    void noZoneIsPartitionedWhenOtherZonesAreOverdueToo() {
        addMachines(OWN_ZONE, 10, 3);
        addMachines(PEER_ZONE, 10, 7);
        assertFalse(isPartitioned(PEER_ZONE));
    }

    @Test
    void zoneCountsAsPartitionedForOneLeaseAfterRecovering() {
        addMachines(OWN_ZONE, 10, 0);
        addMachines(PEER_ZONE, 10, 7);
        receiveAllHeartbeats();
        timers.advance(config.workers().leaseMicros() - 1);
        assertTrue(isPartitioned(PEER_ZONE));
        timers.advance(1);
        assertFalse(isPartitioned(PEER_ZONE));
    }

    @Test
    void tasksMayContinueInPartitionedZoneWithPeer() {
        addMachines(OWN_ZONE, 10, 0);
        addMachines(PEER_ZONE, 10, 10);
        assertTrue(detector.isPartitionedWithPeer(machineIn(PEER_ZONE), timers.nowMicros()));
        assertFalse(detector.isPartitionedWithPeer(machineIn(OWN_ZONE), timers.nowMicros()), "not partitioned");
    }

    @Test
    void tasksEndInPartitionedZoneWithoutPeer() {
        addMachines(PEER_ZONE, 10, 0);
        addMachines(OWN_ZONE, 10, 10);
        assertTrue(isPartitioned(OWN_ZONE));
        assertFalse(detector.isPartitionedWithPeer(machineIn(OWN_ZONE), timers.nowMicros()));
    }

    @ParameterizedTest(name = "{0} of 10 overdue: unresponsive timeout {1} s")
    @CsvSource({"0, 3", "2, 3", "3, 4"})
    void timeoutIsOneHeartbeatLongerInSuspectedZone(int overdue, long timeoutSeconds) {
        addMachines(OWN_ZONE, 10, overdue);
        assertEquals(timeoutSeconds * SECOND_MICROS, detector.unresponsiveTimeoutMicros(machineIn(OWN_ZONE)));
    }

    @ParameterizedTest(name = "{0} of 20 overdue, {1} redirected by a peer: {2}")
    @CsvSource({
        "4, -1, true", // few overdue machines, whatever peers report
        "5, -1, false", // no status of a peer
        "8, 1, true", // the peer does not receive their heartbeats either
        "8, 2, false", // the peer receives some of the heartbeats
        "10, 0, true", // half of all machines
        "11, 0, false", // more than half of all machines
    })
    void missedHeartbeatsAreTrustedUnlessControllerMayBePartitioned(
            int overdue, int redirectedByPeer, boolean trusted) {
        addMachines(OWN_ZONE, 20, overdue);
        if (redirectedByPeer != NO_PEER_STATUS) {
            peers.handleStatus(new PeerStatus("c2", 0, false, redirectedByPeer));
        }
        assertEquals(trusted, detector.canTrustMissedHeartbeats());
    }

    @Test
    void twoOverdueMachinesCountAsFewInAnyFleet() {
        addMachines(OWN_ZONE, 2, 2);
        assertTrue(detector.canTrustMissedHeartbeats());
    }
}
