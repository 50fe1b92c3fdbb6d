package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ControllerIdentity;
import org.granitepath.coordination.config.PlatformLimits;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.config.Topology;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;
import org.junit.jupiter.api.Test;

/** What a raised fencing token means for a machine that reports, and for one that does not. */
class TokenRaiseHandlerTest {
    private static final long SECOND = 1_000_000;
    private static final long HEARTBEAT = SECOND / 2;
    private static final long LEASE = 10 * SECOND;
    private static final String OWN_ZONE = "zone-a";
    private static final String PEER_ZONE = "zone-b";

    private static final class ManualTimers implements Timers {
        private long nowMicros = 100 * SECOND;

        @Override
        public long nowMicros() {
            return nowMicros;
        }

        @Override
        public long timeOfDayMicros() {
            return nowMicros;
        }

        @Override
        public void after(long delayMicros, Runnable action) {
            throw new UnsupportedOperationException();
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final Config config = new Config(
            new ControllerIdentity("c1", "c1-1", OWN_ZONE),
            new Topology(List.of(OWN_ZONE, PEER_ZONE), Map.of("c2", PEER_ZONE)),
            Map.of(),
            Map.of(),
            new WorkerTiming(HEARTBEAT, LEASE, 30 * SECOND, SECOND, SECOND),
            new PlatformLimits(100, new StoreLimits(10, 8192, 8), 5, 100),
            0,
            Tuning.defaults());
    private final Fleet fleet = new Fleet(config, timers);
    private final TokenRaiseHandler handler = new TokenRaiseHandler(config, fleet, timers);

    private Machine machineIn(String zone) {
        Machine machine = new Machine("m00", "10.0.0.1:80", "standard", zone, false);
        fleet.add(machine);
        machine.heartbeatReceived(false, timers.nowMicros());
        machine.contact().leaseRunsUntil(timers.nowMicros() + LEASE, true);
        machine.tasksConfirmed();
        return machine;
    }

    @Test
    void aMachineThatReportsMustShowTheToken() {
        Machine machine = machineIn(PEER_ZONE);
        handler.tokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertFalse(machine.contact().fenced());
        assertEquals(timers.nowMicros() + LEASE, machine.contact().leaseExpiryMicros());
    }

    @Test
    void anUnresponsiveMachineIsFenced() {
        Machine machine = machineIn(OWN_ZONE);
        long leaseExpiryMicros = machine.contact().leaseExpiryMicros();
        timers.nowMicros += 5 * SECOND;
        handler.tokenRaised(machine);
        assertEquals(Machine.Phase.UNCONFIRMED, machine.phase());
        assertTrue(machine.contact().fenced());
        assertEquals(leaseExpiryMicros, machine.contact().leaseExpiryMicros(), "nobody can have kept it alive");
    }

    @Test
    void theLeaseOfAnUnresponsiveMachineNearAPeerMayGoOnForAWhile() {
        Machine machine = machineIn(PEER_ZONE);
        timers.nowMicros += 5 * SECOND;
        handler.tokenRaised(machine);
        assertTrue(machine.contact().fenced());
        assertEquals(
                timers.nowMicros()
                        + config.workers().maxDisconnectedMicros()
                        + config.workers().longestLeaseMicros(),
                machine.contact().leaseExpiryMicros());
    }

    @Test
    void aLeaseThatIsOverIsNotExtended() {
        Machine machine = machineIn(PEER_ZONE);
        machine.leaseExpired();
        timers.nowMicros += 5 * SECOND;
        handler.tokenRaised(machine);
        assertEquals(0, machine.contact().leaseExpiryMicros());
    }
}
