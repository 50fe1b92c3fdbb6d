package org.granitepath.coordination.fleet;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Our machines as they are on record, many to a value, and the fencing tokens that single machines are given anew. */
public final class MachineInventory {
    private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);
    /** Larger values would only be read over and over by every controller. */
    private static final int MOST_VALUE_BYTES = 8 * 1024;

    /** A value without machines, with the space around its rows. */
    private static final int EMPTY_VALUE_BYTES = 64;

    private static final int MOST_TRANSACTION_BYTES = 48 * 1024;
    private static final long LEAST_GATHER_MICROS = 30_000;
    /**
     * Share of the budget that the machine inventory may take: its writes go first, and claims must not starve behind
     * them.
     */
    private static final double WRITE_SHARE = 0.3;

    private static final long CLEANUP_MICROS = 15_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final Fleet fleet;
    private final Consumer<Machine> tokenListener;
    private final Runnable recordedListener;
    private final int valueBytes;
    private final int valuesAtOnce;
    private final Timers timers;
    /** Before this the next write would take more than the inventory's share of the budget. */
    private long nextMicros;

    private boolean cleanupTimerSet;
    private boolean cleanupDue;
    private final List<Set<String>> values = new ArrayList<>();
    /** The bytes of each value, at most. */
    private final IntArrayList usedBytes = new IntArrayList();
    /**
     * Values on record that are larger than may be written, each with those that take over a part of its machines.
     * Each group is written whole, so that no machine is ever on record twice or not at all, and in order, so that
     * there is no gap between the values.
     */
    private final ArrayDeque<List<Integer>> splits = new ArrayDeque<>();

    /** Large values with more machines than one transaction can spread: they stay as they are until it can. */
    private final Set<Integer> unsplittable = new HashSet<>();

    /** How many values are on record, without a gap. */
    private int valuesOnRecord;

    private int unreadableParts;

    private boolean splitting;
    private final Set<Integer> dirty = new HashSet<>();
    // What the transaction under way holds.
    private final List<Machine> withNewToken = new ArrayList<>();
    private final List<Machine> added = new ArrayList<>();
    private final List<Integer> written = new ArrayList<>();
    private long drawn;

    /**
     * @param tokenListener told of each machine whose new fencing token is on record; {@code recordedListener} of
     *     each write
     */
    public MachineInventory(
            Config config,
            Leadership.Term term,
            RecordReplica replica,
            WriteQueue writeQueue,
            Timers timers,
            Fleet fleet,
            Consumer<Machine> tokenListener,
            Runnable recordedListener) {
        this.timers = timers;
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.fleet = fleet;
        this.tokenListener = tokenListener;
        this.recordedListener = recordedListener;
        this.valueBytes = Math.min(config.limits().store().valueBytes(), MOST_VALUE_BYTES);
        // One change is left for the counter of fencing tokens.
        this.valuesAtOnce = Math.max(
                1, Math.min(config.limits().store().transactionChanges() - 1, MOST_TRANSACTION_BYTES / valueBytes));
    }

    /** The machines on record when the term began; all are ours under the term's fencing token. */
    public List<Machine> takeOver() {
        List<Machine> takenOver = new ArrayList<>();
        for (int part = 0; part < replica.inventoryParts(); part++) {
            InventoryRecord hosts = replica.inventory(part);
            if (hosts == null) {
                leaveUnreadable(part);
                continue;
            }
            Set<String> names = new LinkedHashSet<>();
            for (InventoryRecord.Host host : hosts.hosts()) {
                Machine machine = new Machine(host.id(), host.address(), host.type(), host.zone(), host.spot());
                machine.inventory().foundOnRecord(part, term.fencingToken());
                takenOver.add(machine);
                names.add(machine.id());
            }
            values.add(names);
            usedBytes.add(EMPTY_VALUE_BYTES
                    + takenOver.stream()
                            .skip(takenOver.size() - (long) names.size())
                            .mapToInt(MachineInventory::rowBytes)
                            .sum());
        }
        valuesOnRecord = values.size();
        splitLargeValues(takenOver);
        return takenOver;
    }

    /** Nothing is written where a value can't be read: it counts as full, and without machines. */
    private void leaveUnreadable(int part) {
        LOG.error(
                "record {} can't be read: its machines are not known, and no task is taken for lost in this term",
                Keys.INVENTORY + part);
        values.add(new LinkedHashSet<>());
        usedBytes.add(valueBytes);
        unreadableParts++;
    }

    /** How many values of the inventory can't be read. */
    public int unreadableParts() {
        return unreadableParts;
    }

    /** A controller that knew of larger limits may have left values that may no longer be written. */
    private void splitLargeValues(List<Machine> takenOver) {
        int onRecord = values.size();
        for (int part = 0; part < onRecord; part++) {
            if (usedBytes.getInt(part) > valueBytes) {
                int large = part;
                split(
                        part,
                        takenOver.stream()
                                .filter(machine -> machine.inventory().part() == large)
                                .toList());
            }
        }
        if (!unsplittable.isEmpty()) {
            LOG.warn(
                    "{} values of the machine inventory hold more than one transaction can spread: they stay "
                            + "as they are until machines are gone, and those that need a new token stay unused",
                    unsplittable.size());
        }
        if (!splits.isEmpty()) {
            LOG.info("{} values of the machine inventory are split: they exceed {} bytes", splits.size(), valueBytes);
            changed(splits.peek().get(0));
        }
    }

    private void split(int part, List<Machine> machines) {
        List<List<Machine>> pieces = pieces(machines);
        if (pieces.size() > config.limits().store().transactionChanges()) {
            unsplittable.add(part);
            return;
        }
        unsplittable.remove(part);
        List<Integer> group = new ArrayList<>();
        for (List<Machine> piece : pieces) {
            int target = group.isEmpty() ? part : values.size();
            if (!group.isEmpty()) {
                values.add(new LinkedHashSet<>());
                usedBytes.add(EMPTY_VALUE_BYTES);
            }
            values.get(target).clear();
            usedBytes.set(target, EMPTY_VALUE_BYTES);
            piece.forEach(machine -> put(machine, target));
            group.add(target);
        }
        splits.add(group);
    }

    /** These machines in as few values as hold them. */
    private List<List<Machine>> pieces(List<Machine> machines) {
        List<List<Machine>> pieces = new ArrayList<>();
        int left = 0;
        for (Machine machine : machines) {
            int bytes = rowBytes(machine);
            if (pieces.isEmpty() || bytes > left) {
                pieces.add(new ArrayList<>());
                left = valueBytes - EMPTY_VALUE_BYTES;
            }
            pieces.get(pieces.size() - 1).add(machine);
            left -= bytes;
        }
        return pieces;
    }

    private static int rowBytes(Machine machine) {
        return machine.inventoryRow(machine.fencingToken()).largestRowBytes();
    }

    private void put(Machine machine, int part) {
        values.get(part).add(machine.id());
        usedBytes.set(part, usedBytes.getInt(part) + rowBytes(machine));
        machine.inventory().putInPart(part);
    }

    void add(Machine machine) {
        int bytes = rowBytes(machine);
        int at = 0;
        while (at < values.size() && usedBytes.getInt(at) + bytes > valueBytes) {
            at++;
        }
        if (at == values.size()) {
            values.add(new LinkedHashSet<>());
            usedBytes.add(EMPTY_VALUE_BYTES);
        }
        put(machine, at);
        changed(at);
    }

    void remove(Machine machine) {
        int part = machine.inventory().part();
        if (values.get(part).remove(machine.id())) {
            usedBytes.set(part, usedBytes.getInt(part) - rowBytes(machine));
        }
        if (unsplittable.contains(part)) {
            split(part, values.get(part).stream().map(fleet::machine).toList());
        }
        changed(part);
    }

    /** A direct command has no answer: only a higher fencing token makes sure that it can't be carried out late. */
    public void requestToken(Machine machine, String why) {
        if (!machine.inventory().needsNewToken() && !machine.isGone()) {
            LOG.info("machine {} wants a new fencing token: {}", machine.id(), why);
            machine.inventory().requireNewToken();
            changed(machine.inventory().part());
        }
    }

    /**
     * The machine needs a higher fencing token some time, only so that its exited attempts can be cleared: it gets
     * one together with others, and takes tasks until then.
     */
    void requestTokenForCleanup(Machine machine) {
        machine.inventory().requireTokenForCleanup();
        if (!cleanupTimerSet) {
            cleanupTimerSet = true;
            timers.after(CLEANUP_MICROS, () -> {
                cleanupTimerSet = false;
                cleanupDue = true;
                fleet.machines().stream()
                        .filter(each -> each.inventory().needsTokenForCleanup())
                        .forEach(each -> changed(each.inventory().part()));
            });
        }
    }

    private void changed(int value) {
        dirty.add(value);
        long delay = Math.max(LEAST_GATHER_MICROS, nextMicros - timers.nowMicros());
        writeQueue.enqueue("rosters", WriteQueue.Urgency.SAFETY, delay, this::changes, storeRevision -> recorded());
    }

    private List<Change> changes() {
        dirty.addAll(written); // the transaction before this one failed
        withNewToken.clear();
        added.clear();
        written.clear();
        splitting = !splits.isEmpty() && beginsWithinRecord(splits.peek());
        List<Change> changes = splitting ? splitChanges(splits.peek()) : dirtyChanges();
        if (!withNewToken.isEmpty()) {
            changes.add(Change.write(
                    Keys.FENCING_TOKEN, new FencingTokenRecord(config.node(), term.fencingToken(), drawn)));
        }
        nextMicros = timers.nowMicros() + (long) (changes.size() * 1e6 / (writeQueue.writesPerSecond() * WRITE_SHARE));
        return changes;
    }

    /** Whether the values that a split adds would follow those on record without a gap. */
    private boolean beginsWithinRecord(List<Integer> group) {
        return group.size() == 1 || group.get(1) <= valuesOnRecord;
    }

    /** One large value in parts. No token is drawn: the counter might not fit into the same transaction. */
    private List<Change> splitChanges(List<Integer> group) {
        List<Change> changes = new ArrayList<>();
        for (int part : group) {
            changes.add(valueChange(part, false));
        }
        dirty.removeAll(group);
        for (int part : group) {
            if (values.get(part).stream()
                    .anyMatch(id -> fleet.machine(id).inventory().needsNewToken())) {
                dirty.add(part);
            }
        }
        return changes;
    }

    private List<Change> dirtyChanges() {
        FencingTokenRecord counter = replica.fencingToken();
        drawn = (counter == null ? term.fencingToken() : counter.last()) + 1;
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < values.size() && written.size() < valuesAtOnce; i++) {
            int part = i;
            boolean toBeSplit = splits.stream().anyMatch(group -> group.contains(part));
            if (toBeSplit && part >= valuesOnRecord) {
                break; // what comes after it must not be on record before it
            }
            if (dirty.contains(part) && !toBeSplit && !unsplittable.contains(part)) {
                changes.add(valueChange(part, true));
            }
        }
        // A change that comes while the transaction is under way makes its value dirty once more.
        dirty.removeAll(written);
        return changes;
    }

    private Change valueChange(int part, boolean drawTokens) {
        List<InventoryRecord.Host> hosts = new ArrayList<>();
        for (String id : values.get(part)) {
            Machine machine = fleet.machine(id);
            if (cleanupDue) {
                machine.inventory().cleanupTokenDue();
            }
            boolean draws = drawTokens && machine.inventory().needsNewToken();
            if (draws) {
                withNewToken.add(machine);
            }
            if (!machine.inventory().recorded()) {
                added.add(machine);
            }
            hosts.add(machine.inventoryRow(draws ? drawn : machine.fencingToken()));
        }
        written.add(part);
        return Change.write(Keys.INVENTORY + part, new InventoryRecord(hosts));
    }

    private void recorded() {
        if (splitting) {
            splits.remove();
            splitting = false;
        }
        written.forEach(part -> valuesOnRecord = Math.max(valuesOnRecord, part + 1));
        written.clear();
        dirty.removeAll(unsplittable);
        cleanupDue &= !dirty.isEmpty();
        for (Machine machine : added) {
            machine.inventory().onRecord();
        }
        for (Machine machine : withNewToken) {
            machine.inventory().tokenRaised(drawn);
            tokenListener.accept(machine);
        }
        if (!splits.isEmpty()) {
            changed(splits.peek().get(0));
        } else if (!dirty.isEmpty()) {
            changed(dirty.iterator().next());
        }
        recordedListener.run();
    }
}
