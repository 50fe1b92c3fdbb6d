package org.granitepath.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.bookkeeping.FencingTokenRecord;
import org.granitepath.bookkeeping.InventoryRecord;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.RecordReplica;
import org.granitepath.bookkeeping.StatePort.Change;
import org.granitepath.bookkeeping.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Our machines as they are on record, many to a value, and the fencing tokens that single machines are given anew. */
final class MachineInventory {
    private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);
    private static final int ROW_BYTES = 110;
    /** Larger values would only be read over and over by every controller. */
    private static final int MOST_VALUE_BYTES = 8 * 1024;

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
    private final int rowsEach;
    private final int valuesAtOnce;
    private final Timers timers;
    /** Before this the next write would take more than the inventory's share of the budget. */
    private long nextMicros;

    private boolean cleanupTimerSet;
    private boolean cleanupDue;
    private final List<Set<String>> values = new ArrayList<>();
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
    MachineInventory(
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
        int valueBytes = Math.min(config.valueBytes(), MOST_VALUE_BYTES);
        this.rowsEach = Math.max(8, valueBytes / ROW_BYTES);
        this.valuesAtOnce = Math.max(1, Math.min(config.txnOps() - 2, MOST_TRANSACTION_BYTES / valueBytes));
    }

    /** The machines on record when the term began; all are ours under the term's fencing token. */
    List<Machine> takeOver() {
        List<Machine> inherited = new ArrayList<>();
        int part = 0;
        for (InventoryRecord hosts = replica.inventory(part); hosts != null; hosts = replica.inventory(++part)) {
            Set<String> names = new LinkedHashSet<>();
            for (InventoryRecord.Host host : hosts.hosts()) {
                Machine machine = new Machine(host.id(), host.address(), host.type(), host.zone(), host.spot());
                machine.inventoryPart = part;
                machine.recorded = true;
                machine.fencingToken = term.fencingToken();
                inherited.add(machine);
                names.add(machine.id);
            }
            values.add(names);
        }
        return inherited;
    }

    void add(Machine machine) {
        int at = 0;
        while (at < values.size() && values.get(at).size() >= rowsEach) {
            at++;
        }
        if (at == values.size()) {
            values.add(new LinkedHashSet<>());
        }
        values.get(at).add(machine.id);
        machine.inventoryPart = at;
        changed(at);
    }

    void remove(Machine machine) {
        values.get(machine.inventoryPart).remove(machine.id);
        changed(machine.inventoryPart);
    }

    /** A direct command has no answer: only a higher fencing token makes sure that it can't be carried out late. */
    void requestToken(Machine machine, String why) {
        if (!machine.needsNewToken && machine.phase != Machine.Phase.GONE) {
            LOG.info("machine {} wants a new fencing token: {}", machine.id, why);
            machine.needsNewToken = true;
            changed(machine.inventoryPart);
        }
    }

    /**
     * The machine needs a higher fencing token some time, only so that its exited attempts can be cleared: it gets
     * one together with others, and takes tasks until then.
     */
    void requestTokenForCleanup(Machine machine) {
        machine.needsTokenForCleanup = true;
        if (!cleanupTimerSet) {
            cleanupTimerSet = true;
            timers.after(CLEANUP_MICROS, () -> {
                cleanupTimerSet = false;
                cleanupDue = true;
                fleet.machines().stream()
                        .filter(each -> each.needsTokenForCleanup)
                        .forEach(each -> changed(each.inventoryPart));
            });
        }
    }

    private void changed(int value) {
        dirty.add(value);
        long delay = Math.max(LEAST_GATHER_MICROS, nextMicros - timers.nowMicros());
        writeQueue.enqueue("rosters", WriteQueue.Urgency.SAFETY, delay, this::changes, epoch -> recorded());
    }

    private List<Change> changes() {
        dirty.addAll(written); // the transaction before this one failed
        withNewToken.clear();
        added.clear();
        written.clear();
        FencingTokenRecord counter = replica.fencingToken();
        drawn = (counter == null ? term.fencingToken() : counter.last()) + 1;
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < values.size() && written.size() < valuesAtOnce; i++) {
            if (!dirty.contains(i)) {
                continue;
            }
            List<InventoryRecord.Host> hosts = new ArrayList<>();
            for (String id : values.get(i)) {
                Machine machine = fleet.machine(id);
                machine.needsNewToken |= cleanupDue && machine.needsTokenForCleanup;
                if (machine.needsNewToken) {
                    withNewToken.add(machine);
                }
                if (!machine.recorded) {
                    added.add(machine);
                }
                hosts.add(machine.inventoryRow(machine.needsNewToken ? drawn : machine.fencingToken));
            }
            written.add(i);
            changes.add(Change.write(Keys.INVENTORY + i, new InventoryRecord(hosts)));
        }
        // A change that comes while the transaction is under way makes its value dirty once more.
        dirty.removeAll(written);
        if (!withNewToken.isEmpty()) {
            changes.add(Change.write(
                    Keys.FENCING_TOKEN, new FencingTokenRecord(config.node(), term.fencingToken(), drawn)));
        }
        nextMicros = timers.nowMicros() + (long) (changes.size() * 1e6 / (writeQueue.writesPerSecond() * WRITE_SHARE));
        return changes;
    }

    private void recorded() {
        written.clear();
        cleanupDue &= !dirty.isEmpty();
        for (Machine machine : added) {
            machine.recorded = true;
        }
        for (Machine machine : withNewToken) {
            machine.needsNewToken = false;
            machine.needsTokenForCleanup = false;
            machine.fencingToken = drawn;
            tokenListener.accept(machine);
        }
        if (!dirty.isEmpty()) {
            changed(dirty.iterator().next());
        }
        recordedListener.run();
    }
}
