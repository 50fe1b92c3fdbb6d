package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.Keys;
import org.junit.jupiter.api.Test;

/** What one write of the machine inventory holds. */
class InventoryTransactionTest {
    private static final long TERM_TOKEN = 7;
    private static final long NEW_TOKEN = 9;

    private final Machine machine = new Machine("m00", "10.0.0.1:80", "standard", "zone-a", false);

    private InventoryTransaction write(InventoryTransaction transaction, boolean cleanupTokensDue) {
        transaction.write(3, List.of(machine), cleanupTokensDue);
        return transaction;
    }

    private static long tokenWritten(InventoryTransaction transaction) {
        InventoryRecord written = (InventoryRecord) transaction.changes().get(0).record();
        return written.hosts().get(0).fencingToken();
    }

    @Test
    void aPartIsWrittenWithTheTokensThatHold() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        InventoryTransaction transaction = write(InventoryTransaction.drawing(NEW_TOKEN), false);
        assertEquals(List.of(3), transaction.parts());
        assertEquals(Keys.INVENTORY + 3, transaction.changes().get(0).key());
        assertEquals(TERM_TOKEN, tokenWritten(transaction));
        assertEquals(List.of(), transaction.machinesWithNewToken());
        assertEquals(List.of(), transaction.machinesAdded());
    }

    @Test
    void aMachineThatNeedsANewTokenGetsIt() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireNewToken();
        InventoryTransaction transaction = write(InventoryTransaction.drawing(NEW_TOKEN), false);
        assertEquals(NEW_TOKEN, tokenWritten(transaction));
        assertEquals(List.of(machine), transaction.machinesWithNewToken());
        assertEquals(TERM_TOKEN, machine.fencingToken(), "not raised before it is on record");
    }

    @Test
    void aTokenThatIsNeededOnlyForCleanupIsDrawnOnceThatIsDue() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireTokenForCleanup();
        assertEquals(TERM_TOKEN, tokenWritten(write(InventoryTransaction.drawing(NEW_TOKEN), false)));
        assertEquals(NEW_TOKEN, tokenWritten(write(InventoryTransaction.drawing(NEW_TOKEN), true)));
    }

    @Test
    void aSplitDrawsNoToken() {
        machine.inventory().restoreFromRecord(3, TERM_TOKEN);
        machine.inventory().requireNewToken();
        InventoryTransaction transaction = write(InventoryTransaction.ofSplit(), false);
        assertTrue(transaction.isSplit());
        assertEquals(TERM_TOKEN, tokenWritten(transaction));
        assertEquals(List.of(), transaction.machinesWithNewToken());
    }

    @Test
    void aMachineThatIsNotOnRecordIsAdded() {
        InventoryTransaction transaction = write(InventoryTransaction.drawing(NEW_TOKEN), false);
        assertFalse(transaction.isSplit());
        assertEquals(List.of(machine), transaction.machinesAdded());
    }
}
