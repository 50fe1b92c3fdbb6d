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
 * The assignment of machines to parts of the machine inventory. A part is one value in the store and holds one row for
 * each of its machines; parts are numbered from 0, and the numbers of the stored parts have no gaps. This class only
 * assigns machines; the {@link InventoryWriter} decides what is written and when.
 */
final class InventoryLayout {
    private final int partBytes;
    private final int maxPartsPerSplit;
    private final Function<String, Machine> machineById;
    private final List<InventoryPart> parts = new ArrayList<>();
    /**
     * Splits that are not stored yet. Each lists a stored part that exceeds the size limit, followed by the new parts
     * that receive some of its machines. Each split is written in one transaction, so that the store never holds a
     * machine twice or not at all, and splits are written in order, so that part numbers have no gaps.
     */
    private final ArrayDeque<List<Integer>> pendingSplits = new ArrayDeque<>();
    /** Oversized parts that one transaction can't split; they stay unchanged until enough machines are removed. */
    private final Set<Integer> unsplittableParts = new HashSet<>();

    private int storedPartCount;

    /**
     * Creates a layout without parts.
     *
     * @param partBytes the maximum size of a part, in bytes
     * @param maxPartsPerSplit the maximum number of parts into which an oversized part is split, which is limited
     *     because one transaction writes them all
     * @param machineById returns the machine of the fleet that has the given id
     */
    InventoryLayout(int partBytes, int maxPartsPerSplit, Function<String, Machine> machineById) {
        this.partBytes = partBytes;
        this.maxPartsPerSplit = maxPartsPerSplit;
        this.machineById = machineById;
    }

    /** Adds the next stored part, which holds these machines. */
    void addStoredPart(List<Machine> machines) {
        InventoryPart part = new InventoryPart();
        machines.forEach(part::add);
        parts.add(part);
        storedPartCount = parts.size();
    }

    /**
     * Adds the next stored part, which can't be read. It counts as full and without machines, so that it is never
     * written.
     */
    void addUnreadablePart() {
        parts.add(InventoryPart.unreadable(partBytes));
        storedPartCount = parts.size();
    }

    /**
     * Splits the parts that exceed the size limit. A controller with larger limits may have written such parts.
     *
     * @param machines all stored machines, which are not part of the fleet yet
     */
    void splitOversizedParts(List<Machine> machines) {
        int storedParts = partCount();
        for (int part = 0; part < storedParts; part++) {
            if (parts.get(part).usedBytes() > partBytes) {
                split(part, machinesInPart(part, machines));
            }
        }
    }

    private static List<Machine> machinesInPart(int part, List<Machine> machines) {
        return machines.stream()
                .filter(machine -> machine.inventory().part() == part)
                .toList();
    }

    /** Adds the machine to the first part with space for its row, and returns the number of that part. */
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

    /**
     * Removes the machine from its part, and returns the number of that part. An oversized part is split when it has
     * become small enough.
     */
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

    private void split(int part, List<Machine> machines) {
        List<List<Machine>> groups = groupByPartSize(machines);
        if (groups.size() > maxPartsPerSplit) {
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

    /** Divides these machines, in order, into groups that each fill one part. */
    private List<List<Machine>> groupByPartSize(List<Machine> machines) {
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

    /** Returns the number of splits that are not stored yet. */
    int pendingSplitCount() {
        return pendingSplits.size();
    }

    /** Returns the parts of the next split, the oversized part first, or null when no split is pending. */
    @Nullable
    List<Integer> nextSplit() {
        return pendingSplits.peek();
    }

    /** Returns whether a split is pending and the parts that it adds follow the stored parts without a gap. */
    boolean canWriteNextSplit() {
        List<Integer> split = pendingSplits.peek();
        return split != null && (split.size() == 1 || split.get(1) <= storedPartCount);
    }

    /** Removes the next split from the pending ones, because it has been stored. */
    void markNextSplitStored() {
        pendingSplits.remove();
    }

    /** Returns whether this part belongs to a pending split and may only be written together with it. */
    boolean isInPendingSplit(int part) {
        return pendingSplits.stream().anyMatch(split -> split.contains(part));
    }

    /** Returns whether this part exceeds the size limit and can't be split, so that it can't be written. */
    boolean isUnsplittable(int part) {
        return unsplittableParts.contains(part);
    }

    /** Returns the parts that exceed the size limit and can't be split, so that they can't be written. */
    Set<Integer> unsplittableParts() {
        return unsplittableParts;
    }

    /** Returns the number of parts, stored or not. */
    int partCount() {
        return parts.size();
    }

    /** Returns the ids of the machines of a part, in the order of their rows. */
    Set<String> machineIds(int part) {
        return parts.get(part).machineIds();
    }

    /** Returns the machines of a part, in the order of their rows. */
    List<Machine> machines(int part) {
        return machineIds(part).stream().map(machineById).toList();
    }

    /** Returns whether the store holds the part, though possibly not with its current machines. */
    boolean isStored(int part) {
        return part < storedPartCount;
    }

    /** Marks the part as stored. */
    void markStored(int part) {
        storedPartCount = Math.max(storedPartCount, part + 1);
    }
}
