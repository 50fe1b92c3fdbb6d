package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests the assignment of machines to inventory parts, and the splitting of oversized parts. */
class InventoryLayoutTest {
    private static final int ROWS_PER_PART = 3;
    private static final int MAX_PARTS_PER_SPLIT = 2;
    private static final int ROW_BYTES = rowBytes(machine("m00"));
    private static final int PART_BYTES = InventoryPart.EMPTY_BYTES + ROWS_PER_PART * ROW_BYTES;

    private final Map<String, Machine> fleet = new HashMap<>();
    private final InventoryLayout layout = new InventoryLayout(PART_BYTES, MAX_PARTS_PER_SPLIT, fleet::get);

    private static Machine machine(String id) {
        return new Machine(id, "10.0.0.1:80", "standard", "zone-a", false);
    }

    private static int rowBytes(Machine machine) {
        return machine.inventoryRow(machine.fencingToken()).maxRowBytes();
    }

    /** Adds a stored part with {@code count} machines of equal row size, numbered from {@code first}. */
    private List<Machine> addStoredPart(int part, int first, int count) {
        List<Machine> machines = new ArrayList<>();
        for (int number = first; number < first + count; number++) {
            Machine machine = machine(String.format("m%02d", number));
            machine.inventory().restoreFromRecord(part, 1);
            fleet.put(machine.id(), machine);
            machines.add(machine);
        }
        layout.addStoredPart(machines);
        return machines;
    }

    private int add(String id) {
        Machine machine = machine(id);
        fleet.put(id, machine);
        return layout.add(machine);
    }

    @Test
    void machinesAreAddedUntilPartIsFull() {
        assertEquals(List.of(0, 0, 0, 1), List.of(add("m00"), add("m01"), add("m02"), add("m03")));
        assertEquals(2, layout.partCount());
        assertEquals(List.of("m00", "m01", "m02"), List.copyOf(layout.machineIds(0)), "in insertion order");
        assertEquals(1, fleet.get("m03").inventory().part());
    }

    @Test
    void spaceOfRemovedMachineIsReused() {
        addStoredPart(0, 0, ROWS_PER_PART);
        assertEquals(0, layout.remove(fleet.remove("m01")));
        assertEquals(Set.of("m00", "m02"), layout.machineIds(0));
        assertEquals(0, add("m03"), "the first part has space for one");
        assertEquals(1, add("m04"), "the first part is full again");
    }

    @Test
    void removingMachineTwiceFreesItsSpaceOnce() {
        addStoredPart(0, 0, ROWS_PER_PART);
        Machine removed = fleet.remove("m01");
        layout.remove(removed);
        layout.remove(removed);
        assertEquals(0, add("m03"));
        assertEquals(1, add("m04"));
    }

    @Test
    void unreadablePartGetsNoMachines() {
        layout.addUnreadablePart();
        assertEquals(1, add("m00"));
        assertTrue(layout.isStored(0));
        assertFalse(layout.isStored(1), "not stored before it is written");
        layout.markStored(1);
        assertTrue(layout.isStored(1));
    }

    @Test
    void partsThatFitAreNotSplit() {
        layout.splitOversizedParts(addStoredPart(0, 0, ROWS_PER_PART));
        assertNull(layout.nextSplit());
        assertFalse(layout.canWriteNextSplit());
        assertEquals(0, layout.pendingSplitCount());
    }

    @Test
    void oversizedPartIsSplitIntoMinimalNumberOfParts() {
        layout.splitOversizedParts(addStoredPart(0, 0, ROWS_PER_PART + 2));
        assertEquals(List.of(0, 1), layout.nextSplit());
        assertEquals(Set.of("m00", "m01", "m02"), layout.machineIds(0));
        assertEquals(Set.of("m03", "m04"), layout.machineIds(1));
        assertEquals(1, fleet.get("m04").inventory().part());
        assertTrue(layout.isInPendingSplit(0));
        assertTrue(layout.isInPendingSplit(1));
        assertTrue(layout.canWriteNextSplit());
        layout.markNextSplitStored();
        assertFalse(layout.isInPendingSplit(0));
        assertEquals(1, add("m05"), "the second part has space for one");
        assertEquals(2, add("m06"));
    }

    @Test
    void splitsAreWrittenInOrderWithoutGaps() {
        List<Machine> machines = new ArrayList<>(addStoredPart(0, 0, ROWS_PER_PART + 1));
        machines.addAll(addStoredPart(1, 10, ROWS_PER_PART + 1));
        layout.splitOversizedParts(machines);
        assertEquals(2, layout.pendingSplitCount());
        assertEquals(List.of(0, 2), layout.nextSplit());
        layout.markNextSplitStored();
        assertEquals(List.of(1, 3), layout.nextSplit());
        assertFalse(layout.canWriteNextSplit(), "part 2 is not stored");
        layout.markStored(2);
        assertTrue(layout.canWriteNextSplit());
    }

    @Test
    void unsplittablePartStaysUntilMachinesAreRemoved() {
        int tooMany = MAX_PARTS_PER_SPLIT * ROWS_PER_PART + 1;
        layout.splitOversizedParts(addStoredPart(0, 0, tooMany));
        assertTrue(layout.isUnsplittable(0));
        assertEquals(Set.of(0), layout.unsplittableParts());
        assertEquals(0, layout.pendingSplitCount());
        assertEquals(tooMany, layout.machineIds(0).size());
        assertEquals(1, add("m20"), "no machine is added to it");
        layout.remove(fleet.remove("m00"));
        assertFalse(layout.isUnsplittable(0));
        assertEquals(List.of(0, 2), layout.nextSplit());
        assertEquals(Set.of("m01", "m02", "m03"), layout.machineIds(0));
        assertEquals(Set.of("m04", "m05", "m06"), layout.machineIds(2));
        assertFalse(layout.canWriteNextSplit(), "part 1 is not stored");
    }
}
