package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests when a machine counts as failed. */
class MachineFailuresTest {
    private static final String OWN_ZONE = "zone-c1";
    private static final String PEER_ZONE = "zone-c2";

    private final ManualTimers timers = new ManualTimers();
    private final long startMicros = timers.nowMicros();
    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final long leaseMicros = config.workers().leaseMicros();
    private final long partitionTimeoutMicros = leaseMicros + config.workers().cancellationTimeoutMicros();
    private final Fleet fleet = new Fleet(config, timers);
    private final FailureDetector failureDetector =
            new FailureDetector(config, fleet, new Peers(config, null, timers, () -> null));
    private final MachineFailures failures = new MachineFailures(config.workers(), failureDetector);

    private Machine addMachine(String id, String zone) {
        Machine machine = new Machine(id, id + ":1", "type", zone, false);
        machine.inventory().markRecorded();
        machine.recordHeartbeat(false, startMicros);
        machine.confirmTasks();
        fleet.add(machine);
        return machine;
    }

    private void addMachines(String zone, int count) {
        for (int number = 0; number < count; number++) {
            addMachine(zone + number, zone);
        }
    }

    /** Returns why the machine counts as failed this long after the start, or null if it does not. */
    private TerminationReason reasonAfter(Machine machine, long micros) {
        failureDetector.update(startMicros + micros);
        failures.refresh();
        return failures.failureReason(machine, startMicros + micros);
    }

    @Test
    void failsWithoutHeartbeatForMoreThanLease() {
        Machine machine = addMachine("m", OWN_ZONE);
        assertNull(reasonAfter(machine, leaseMicros));
        assertEquals(TerminationReason.UNRESPONSIVE, reasonAfter(machine, leaseMicros + 1));
    }

    @Test
    void failsSoonerIfItDoesNotAnswerCallsEither() {
        Machine machine = addMachine("m", OWN_ZONE);
        machine.contact().beginCall(startMicros + 1);
        machine.contact().endCall();
        machine.contact().recordCallResult(false);
        long timeoutMicros = failureDetector.unresponsiveTimeoutMicros(machine);

        assertNull(reasonAfter(machine, timeoutMicros));
        // The only machine of a zone is suspected once it is overdue, so the timeout is one heartbeat longer.
        assertNull(reasonAfter(machine, timeoutMicros + 1));
        assertEquals(
                TerminationReason.UNRESPONSIVE,
                reasonAfter(machine, failureDetector.unresponsiveTimeoutMicros(machine) + 1));
    }

    @Test
    void failsOnlyAfterLongestPartitionIfMostMachinesAreOverdue() {
        addMachines(OWN_ZONE, 4);
        Machine machine = fleet.machines().iterator().next();
        assertNull(reasonAfter(machine, leaseMicros + 1));
        assertNull(reasonAfter(machine, partitionTimeoutMicros));
        assertEquals(TerminationReason.UNRESPONSIVE, reasonAfter(machine, partitionTimeoutMicros + 1));
    }

    @Test
    void failsOnlyAfterLongestPartitionInPartitionedZoneWithPeer() {
        addMachines(PEER_ZONE, 4);
        Machine machine = fleet.machines().iterator().next();
        addMachines(OWN_ZONE, 20);
        fleet.machines().stream()
                .filter(other -> other.zone().equals(OWN_ZONE))
                .forEach(other -> other.recordHeartbeat(false, startMicros + partitionTimeoutMicros));

        assertNull(reasonAfter(machine, leaseMicros + 1));
        assertNull(reasonAfter(machine, partitionTimeoutMicros));
        assertEquals(TerminationReason.UNRESPONSIVE, reasonAfter(machine, partitionTimeoutMicros + 1));
    }

    @Test
    void failsIfAnswersHaveNotReachedItForLease() {
        Machine machine = addMachine("m", OWN_ZONE);
        machine.markUnconfirmed(startMicros, "test");
        machine.recordHeartbeat(false, startMicros + leaseMicros);
        assertNull(reasonAfter(machine, leaseMicros));
        assertEquals(TerminationReason.UNREACHABLE, reasonAfter(machine, leaseMicros + 1));
    }

    @Test
    void doesNotFailBeforeItIsRecorded() {
        Machine machine = new Machine("m", "m:1", "type", OWN_ZONE, false);
        fleet.add(machine);
        machine.recordHeartbeat(false, startMicros + leaseMicros);
        assertNull(reasonAfter(machine, leaseMicros + 1));
    }
}
