package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.Keys;
import org.junit.jupiter.api.Test;

/** Tests the contents of one write of the machine inventory. */
class InventoryTransactionTest {
    private static final long TERM_TOKEN = 7;
    private static final long NEW_TOKEN = 9;

    private final Machine machine = new Machine("m00", "10.0.0.1:80", "standard", "zone-a", false);

    private InventoryTransaction addPart(InventoryTransaction transaction, boolean cleanupTokensDue) {
        transaction.addPart(3, List.of(machine), cleanupTokensDue);
        return transaction;
    }

    private static long writtenToken(InventoryTransaction transaction) {
        InventoryRecord written = (InventoryRecord) transaction.changes().get(0).record();
        return written.machines().get(0).fencingToken();
    }

    @Test
    void partIsWrittenWithCurrentTokens() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        InventoryTransaction transaction = addPart(InventoryTransaction.withNewToken(NEW_TOKEN), false);
        assertEquals(List.of(3), transaction.parts());
        assertEquals(Keys.INVENTORY_PREFIX + 3, transaction.changes().get(0).key());
        assertEquals(TERM_TOKEN, writtenToken(transaction));
        assertEquals(List.of(), transaction.machinesWithNewToken());
        assertEquals(List.of(), transaction.machinesAdded());
    }

    @Test
    void machineThatNeedsNewTokenGetsIt() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireNewToken();
        InventoryTransaction transaction = addPart(InventoryTransaction.withNewToken(NEW_TOKEN), false);
        assertEquals(NEW_TOKEN, writtenToken(transaction));
        assertEquals(List.of(machine), transaction.machinesWithNewToken());
        assertEquals(TERM_TOKEN, machine.fencingToken(), "not raised before it is stored");
    }

    @Test
    void cleanupTokenIsAllocatedOnlyWhenDue() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireTokenForCleanup();
        assertEquals(TERM_TOKEN, writtenToken(addPart(InventoryTransaction.withNewToken(NEW_TOKEN), false)));
        assertEquals(NEW_TOKEN, writtenToken(addPart(InventoryTransaction.withNewToken(NEW_TOKEN), true)));
    }

    @Test
    void splitAllocatesNoToken() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireNewToken();
        InventoryTransaction transaction = addPart(InventoryTransaction.forSplit(), false);
        assertTrue(transaction.isSplit());
        assertEquals(TERM_TOKEN, writtenToken(transaction));
        assertEquals(List.of(), transaction.machinesWithNewToken());
    }

    @Test
    void machineThatIsNotStoredIsAdded() {
        InventoryTransaction transaction = addPart(InventoryTransaction.withNewToken(NEW_TOKEN), false);
        assertFalse(transaction.isSplit());
        assertEquals(List.of(machine), transaction.machinesAdded());
    }
}
