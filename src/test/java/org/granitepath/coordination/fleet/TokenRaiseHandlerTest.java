package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests the effect of a raised fencing token on responsive and unresponsive machines. */
class TokenRaiseHandlerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long LEASE_MICROS = 10 * SECOND_MICROS;
    private static final String OWN_ZONE = "zone-c1";
    private static final String PEER_ZONE = "zone-c2";

    private final ManualTimers timers = new ManualTimers();
    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final Fleet fleet = new Fleet(config, timers);
    private final TokenRaiseHandler handler = new TokenRaiseHandler(config, fleet, timers);

    private Machine machineIn(String zone) {
        Machine machine = new Machine("m00", "10.0.0.1:80", "standard", zone, false);
        fleet.add(machine);
        machine.recordHeartbeat(false, timers.nowMicros());
        machine.contact().setLeaseExpiry(timers.nowMicros() + LEASE_MICROS, true);
        machine.confirmTasks();
        return machine;
    }

    @Test
    void responsiveMachineBecomesUnconfirmed() {
        Machine machine = machineIn(PEER_ZONE);
        handler.onTokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertFalse(machine.contact().isFenced());
        assertEquals(timers.nowMicros() + LEASE_MICROS, machine.contact().leaseExpiryMicros());
    }

    @Test
    void unresponsiveMachineIsFenced() {
        Machine machine = machineIn(OWN_ZONE);
        long leaseExpiryMicros = machine.contact().leaseExpiryMicros();
        timers.advance(5 * SECOND_MICROS);
        handler.onTokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertTrue(machine.contact().isFenced());
        assertEquals(
                leaseExpiryMicros,
                machine.contact().leaseExpiryMicros(),
                "no peer in the zone can have renewed the lease");
    }

    @Test
    void leaseOfUnresponsiveMachineIsExtendedInZoneOfPeer() {
        Machine machine = machineIn(PEER_ZONE);
        timers.advance(5 * SECOND_MICROS);
        handler.onTokenRaised(machine);
        assertTrue(machine.contact().isFenced());
        assertEquals(
                timers.nowMicros()
                        + config.workers().maxDisconnectedMicros()
                        + config.workers().maxLeaseMicros(),
                machine.contact().leaseExpiryMicros());
    }

    @Test
    void expiredLeaseIsNotExtended() {
        Machine machine = machineIn(PEER_ZONE);
        machine.expireLease();
        timers.advance(5 * SECOND_MICROS);
        handler.onTokenRaised(machine);
        assertEquals(0, machine.contact().leaseExpiryMicros());
    }
}
