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

/** What a raised fencing token means for a machine whose heartbeats come, and for an unresponsive one. */
class TokenRaiseHandlerTest {
    private static final long SECOND = 1_000_000;
    private static final long LEASE = 10 * SECOND;
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
        machine.contact().setLeaseExpiry(timers.nowMicros() + LEASE, true);
        machine.confirmTasks();
        return machine;
    }

    @Test
    void aMachineWhoseHeartbeatsComeMustShowTheToken() {
        Machine machine = machineIn(PEER_ZONE);
        handler.onTokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertFalse(machine.contact().isFenced());
        assertEquals(timers.nowMicros() + LEASE, machine.contact().leaseExpiryMicros());
    }

    @Test
    void anUnresponsiveMachineIsFenced() {
        Machine machine = machineIn(OWN_ZONE);
        long leaseExpiryMicros = machine.contact().leaseExpiryMicros();
        timers.advance(5 * SECOND);
        handler.onTokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertTrue(machine.contact().isFenced());
        assertEquals(leaseExpiryMicros, machine.contact().leaseExpiryMicros(), "nobody can have kept it alive");
    }

    @Test
    void theLeaseOfAnUnresponsiveMachineNearAPeerMayGoOnForAWhile() {
        Machine machine = machineIn(PEER_ZONE);
        timers.advance(5 * SECOND);
        handler.onTokenRaised(machine);
        assertTrue(machine.contact().isFenced());
        assertEquals(
                timers.nowMicros()
                        + config.workers().maxDisconnectedMicros()
                        + config.workers().maxLeaseMicros(),
                machine.contact().leaseExpiryMicros());
    }

    @Test
    void aLeaseThatIsOverIsNotExtended() {
        Machine machine = machineIn(PEER_ZONE);
        machine.expireLease();
        timers.advance(5 * SECOND);
        handler.onTokenRaised(machine);
        assertEquals(0, machine.contact().leaseExpiryMicros());
    }
}
