package org.granitepath.coordination.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.granitepath.coordination.model.Machine;
import org.jspecify.annotations.Nullable;

/**
 * Which part of the machine inventory holds the row of which machine. A part is one value of the store; parts are
 * numbered from 0, and those on record have no gap. Decides only: what is written, and when, is decided elsewhere.
 */
final class InventoryLayout {
    private final int partBytes;
    private final int mostPartsOfSplit;
    private final Function<String, Machine> machineById;
    private final List<InventoryPart> parts = new ArrayList<>();
    /**
     * Parts on record that are larger than may be written, each with those that take over some of its machines. Each
     * group is written whole, so that no machine is ever on record twice or not at all, and in order, so that there is
     * no gap between the parts.
     */
    private final ArrayDeque<List<Integer>> pendingSplits = new ArrayDeque<>();
    /** Large parts with more machines than one transaction can spread: they stay as they are until it can. */
    private final Set<Integer> unsplittableParts = new HashSet<>();

    private int partsOnRecord;

    /**
     * A layout without parts.
     *
     * @param partBytes how large a part may become
     * @param mostPartsOfSplit into how many parts a large one may be split, since one transaction writes them all
     * @param machineById finds the machines that are part of the fleet
     */
    InventoryLayout(int partBytes, int mostPartsOfSplit, Function<String, Machine> machineById) {
        this.partBytes = partBytes;
        this.mostPartsOfSplit = mostPartsOfSplit;
        this.machineById = machineById;
    }

    // ---- what is on record when the term begins ----------------------------------------------------------------

    /** The next part on record holds these machines. */
    void partFound(List<Machine> machines) {
        InventoryPart part = new InventoryPart();
        machines.forEach(part::add);
        parts.add(part);
        partsOnRecord = parts.size();
    }

    /** The next part on record can't be read: it counts as full and without machines, so nothing is written there. */
    void unreadablePartFound() {
        parts.add(InventoryPart.unreadable(partBytes));
        partsOnRecord = parts.size();
    }

    /**
     * A controller that knew of larger limits may have left parts that may no longer be written: they are split.
     *
     * @param machines all machines on record, which are not part of the fleet yet
     */
    void splitLargeParts(List<Machine> machines) {
        int partsFound = partCount();
        for (int part = 0; part < partsFound; part++) {
            if (parts.get(part).usedBytes() > partBytes) {
                split(part, machinesIn(part, machines));
            }
        }
    }

    private static List<Machine> machinesIn(int part, List<Machine> machines) {
        return machines.stream()
                .filter(machine -> machine.inventory().part() == part)
                .toList();
    }

    // ---- machines that come and go -----------------------------------------------------------------------------

    /** Puts the machine into the first part with space for its row, and tells which. */
    int add(Machine machine) {
        int part = firstPartWithSpace(InventoryPart.rowBytes(machine));
        if (part == partCount()) {
            parts.add(new InventoryPart());
        }
        put(machine, part);
        return part;
    }

    private int firstPartWithSpace(int bytes) {
        int part = 0;
        while (part < partCount() && parts.get(part).usedBytes() + bytes > partBytes) {
            part++;
        }
        return part;
    }

    /** Takes the machine out of its part, and tells which that was. A large part may become small enough to split. */
    int remove(Machine machine) {
        int part = machine.inventory().part();
        parts.get(part).remove(machine);
        if (isUnsplittable(part)) {
            split(part, machines(part));
        }
        return part;
    }

    private void put(Machine machine, int part) {
        parts.get(part).add(machine);
        machine.inventory().assignPart(part);
    }

    // ---- splits ------------------------------------------------------------------------------------------------

    private void split(int part, List<Machine> machines) {
        List<List<Machine>> groups = groupsThatFit(machines);
        if (groups.size() > mostPartsOfSplit) {
            unsplittableParts.add(part);
            return;
        }
        unsplittableParts.remove(part);
        parts.get(part).clear();
        List<Integer> partsOfSplit = new ArrayList<>();
        for (List<Machine> group : groups) {
            int target = partsOfSplit.isEmpty() ? part : addEmptyPart();
            group.forEach(machine -> put(machine, target));
            partsOfSplit.add(target);
        }
        pendingSplits.add(partsOfSplit);
    }

    private int addEmptyPart() {
        parts.add(new InventoryPart());
        return parts.size() - 1;
    }

    /** These machines in order, each group as large as one part can hold. */
    private List<List<Machine>> groupsThatFit(List<Machine> machines) {
        List<List<Machine>> groups = new ArrayList<>();
        int freeBytes = 0;
        for (Machine machine : machines) {
            int bytes = InventoryPart.rowBytes(machine);
            if (groups.isEmpty() || bytes > freeBytes) {
                groups.add(new ArrayList<>());
                freeBytes = partBytes - InventoryPart.EMPTY_BYTES;
            }
            groups.get(groups.size() - 1).add(machine);
            freeBytes -= bytes;
        }
        return groups;
    }

    /** How many splits are not on record yet. */
    int pendingSplitCount() {
        return pendingSplits.size();
    }

    /** The parts of the next split, the one that was too large first; null when none is pending. */
    @Nullable
    List<Integer> nextSplit() {
        return pendingSplits.peek();
    }

    /** Whether a split is pending, and the parts that it adds would follow those on record without a gap. */
    boolean mayWriteNextSplit() {
        List<Integer> split = pendingSplits.peek();
        return split != null && (split.size() == 1 || split.get(1) <= partsOnRecord);
    }

    /** The next split is on record. */
    void nextSplitRecorded() {
        pendingSplits.remove();
    }

    /** Whether this part may only be written with its split. */
    boolean isInPendingSplit(int part) {
        return pendingSplits.stream().anyMatch(split -> split.contains(part));
    }

    /** Whether this part is too large to be written, and can't be split either. */
    boolean isUnsplittable(int part) {
        return unsplittableParts.contains(part);
    }

    /** The parts that are too large to be written, and can't be split either. */
    Set<Integer> unsplittableParts() {
        return unsplittableParts;
    }

    // ---- parts -------------------------------------------------------------------------------------------------

    /** How many parts there are, on record or not. */
    int partCount() {
        return parts.size();
    }

    /** The ids of the machines of a part, in the order of their rows. */
    Set<String> machineIds(int part) {
        return parts.get(part).machineIds();
    }

    /** The machines of a part, in the order of their rows. */
    List<Machine> machines(int part) {
        return machineIds(part).stream().map(machineById).toList();
    }

    /** Whether the part is on record, though perhaps not with its present machines. */
    boolean isOnRecord(int part) {
        return part < partsOnRecord;
    }

    /** The part is on record from now on. */
    void partRecorded(int part) {
        partsOnRecord = Math.max(partsOnRecord, part + 1);
    }
}
