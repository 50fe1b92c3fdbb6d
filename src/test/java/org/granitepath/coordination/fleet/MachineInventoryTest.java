package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.SECOND_MICROS;
import static org.granitepath.coordination.fleet.FleetFixture.TERM_TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.Keys;
import org.granitepath.storage.UnknownRecord;
import org.junit.jupiter.api.Test;

/** Tests the storing of machines and the allocation of new fencing tokens to single machines. */
class MachineInventoryTest {
    private static final long CLEANUP_DELAY_MICROS = 15 * SECOND_MICROS;

    private final FleetFixture fixture = new FleetFixture();

    private List<String> storedIds() {
        return fixture.replica.inventoryPart(0).machines().stream()
                .map(InventoryRecord.MachineRow::id)
                .toList();
    }

    @Test
    void addedAndRemovedMachinesAreWrittenToStore() {
        fixture.readyMachine("m1");
        fixture.readyMachine("m2");
        assertEquals(List.of("m1", "m2"), storedIds());
        fixture.machines.onTerminated("m1");
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of("m2"), storedIds());
    }

    @Test
    void machinesTakenOverGetTokenOfTerm() {
        Machine machine = fixture.takeOver("m").get(0);
        assertTrue(machine.inventory().isRecorded());
        assertEquals(TERM_TOKEN, machine.fencingToken());
        assertEquals(0, fixture.inventory.unreadablePartCount());
    }

    @Test
    void unreadablePartIsCountedAndNotWritten() {
        fixture.replica.applyCommitted(Keys.inventoryPartKey(0), new UnknownRecord(Map.of()), 1);
        assertEquals(List.of(), fixture.takeOverStoredMachines());
        assertEquals(1, fixture.inventory.unreadablePartCount());
        assertEquals(1, fixture.readyMachine("m").inventory().part());
    }

    @Test
    void machinesThatNeedNewTokenTogetherShareIt() {
        Machine first = fixture.readyMachine("m1");
        Machine second = fixture.readyMachine("m2");
        Machine third = fixture.readyMachine("m3");
        fixture.inventory.requestToken(first, "test");
        fixture.inventory.requestToken(second, "test");
        assertFalse(first.isSchedulable(), "not before the token is stored");
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of(TERM_TOKEN + 1, TERM_TOKEN + 1, TERM_TOKEN), tokens(first, second, third));
        assertEquals(TERM_TOKEN + 1, fixture.replica.fencingToken().lastIssuedToken());
        assertEquals(List.of("m1", "m2"), fixture.tokensRaised);
    }

    @Test
    void eachNewTokenIsHigherThanTheLastOne() {
        Machine first = fixture.readyMachine("m1");
        Machine second = fixture.readyMachine("m2");
        fixture.inventory.requestToken(first, "test");
        fixture.timers.advance(SECOND_MICROS);
        fixture.inventory.requestToken(second, "test");
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of(TERM_TOKEN + 1, TERM_TOKEN + 2), tokens(first, second));
    }

    private static List<Long> tokens(Machine... machines) {
        return List.of(machines).stream().map(Machine::fencingToken).toList();
    }

    @Test
    void cleanupTokenIsDelayedWhileMachineTakesTasks() {
        Machine machine = fixture.readyMachine("m");
        fixture.inventory.requestTokenForCleanup(machine);
        fixture.timers.advance(CLEANUP_DELAY_MICROS - 1);
        assertTrue(machine.isSchedulable());
        assertEquals(TERM_TOKEN, machine.fencingToken());
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(TERM_TOKEN + 1, machine.fencingToken());
    }

    @Test
    void refusedWriteIsRepeated() {
        fixture.commitOutcome = KeyValueStore.Outcome.REFUSED;
        Machine machine = fixture.readyMachine("m");
        assertFalse(machine.inventory().isRecorded());
        fixture.commitOutcome = KeyValueStore.Outcome.OK;
        fixture.timers.advance(5 * SECOND_MICROS);
        assertTrue(machine.inventory().isRecorded());
        assertEquals(List.of("m"), storedIds());
    }
}
