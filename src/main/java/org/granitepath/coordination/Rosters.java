package org.granitepath.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.bookkeeping.Fields;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.Mirror;
import org.granitepath.bookkeeping.RosterRecord;
import org.granitepath.bookkeeping.StatePort.Change;
import org.granitepath.bookkeeping.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Our machines as they are on record, many to a value, and the batons that single machines are given anew. */
final class Rosters {
    private static final Logger LOG = LoggerFactory.getLogger(Rosters.class);
    private static final int ROW_BYTES = 110;
    /** Larger values would only be read over and over by every controller. */
    private static final int MOST_VALUE_BYTES = 8 * 1024;

    private static final int MOST_TRANSACTION_BYTES = 48 * 1024;
    private static final long LEAST_GATHER_MICROS = 30_000;
    /** Share of the budget that rosters may take: their writes go first, and claims must not starve behind them. */
    private static final double WRITE_SHARE = 0.3;

    private static final long UPKEEP_MICROS = 15_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final Mirror mirror;
    private final Ledger ledger;
    private final Map<String, Machine> machines;
    private final Consumer<Machine> raisedListener;
    private final Runnable recordedListener;
    private final int rowsEach;
    private final int valuesAtOnce;
    private final Timers timers;
    /** Before this the next write would take more than the rosters' share of the budget. */
    private long nextMicros;

    private boolean upkeepTimerSet;
    private boolean upkeepDue;
    private final List<Set<String>> values = new ArrayList<>();
    private final Set<Integer> dirty = new HashSet<>();
    // What the transaction under way holds.
    private final List<Machine> raised = new ArrayList<>();
    private final List<Machine> enrolled = new ArrayList<>();
    private final List<Integer> written = new ArrayList<>();
    private long drawn;

    /** @param raisedListener told of each machine whose new baton is on record; {@code recordedListener} of each write */
    Rosters(
            Config config,
            Leadership.Term term,
            Mirror mirror,
            Ledger ledger,
            Timers timers,
            Map<String, Machine> machines,
            Consumer<Machine> raisedListener,
            Runnable recordedListener) {
        this.timers = timers;
        this.config = config;
        this.term = term;
        this.mirror = mirror;
        this.ledger = ledger;
        this.machines = machines;
        this.raisedListener = raisedListener;
        this.recordedListener = recordedListener;
        int valueBytes = Math.min(config.valueBytes(), MOST_VALUE_BYTES);
        this.rowsEach = Math.max(8, valueBytes / ROW_BYTES);
        this.valuesAtOnce = Math.max(1, Math.min(config.txnOps() - 2, MOST_TRANSACTION_BYTES / valueBytes));
    }

    /** The machines on record when the term began; all are ours under the term's baton. */
    List<Machine> inherit() {
        List<Machine> inherited = new ArrayList<>();
        for (int i = 0; mirror.value(Keys.ROSTER + i) != null; i++) {
            Set<String> row = new LinkedHashSet<>();
            for (RosterRecord.Host h :
                    RosterRecord.fromMap(mirror.value(Keys.ROSTER + i)).hosts()) {
                Machine m = new Machine(h.id(), h.address(), h.type(), h.zone(), h.spot());
                m.roster = i;
                m.rostered = true;
                m.baton = term.baton();
                inherited.add(m);
                row.add(m.id);
            }
            values.add(row);
        }
        return inherited;
    }

    void enrol(Machine m) {
        int at = 0;
        while (at < values.size() && values.get(at).size() >= rowsEach) {
            at++;
        }
        if (at == values.size()) {
            values.add(new LinkedHashSet<>());
        }
        values.get(at).add(m.id);
        m.roster = at;
        changed(at);
    }

    void strike(Machine m) {
        values.get(m.roster).remove(m.id);
        changed(m.roster);
    }

    /** A direct command has no answer: only a higher baton makes sure that it can't be carried out late. */
    void raise(Machine m, String why) {
        if (!m.wantsNewBaton && m.phase != Machine.Phase.GONE) {
            LOG.info("machine {} wants a new baton: {}", m.id, why);
            m.wantsNewBaton = true;
            changed(m.roster);
        }
    }

    /**
     * The machine needs a higher baton some time, only so that its exited attempts can be cleared: it gets one together
     * with others, and takes tasks until then.
     */
    void raiseSome(Machine m) {
        m.wantsUpkeep = true;
        if (!upkeepTimerSet) {
            upkeepTimerSet = true;
            timers.after(UPKEEP_MICROS, () -> {
                upkeepTimerSet = false;
                upkeepDue = true;
                machines.values().stream().filter(each -> each.wantsUpkeep).forEach(each -> changed(each.roster));
            });
        }
    }

    private void changed(int value) {
        dirty.add(value);
        long delay = Math.max(LEAST_GATHER_MICROS, nextMicros - timers.nowMicros());
        ledger.want("rosters", Ledger.Urgency.SAFETY, delay, this::changes, epoch -> recorded());
    }

    private List<Change> changes() {
        dirty.addAll(written); // the transaction before this one failed
        raised.clear();
        enrolled.clear();
        written.clear();
        Map<String, Object> counter = mirror.value(Keys.BATON);
        drawn = (counter == null ? term.baton() : Fields.longOf(counter, "last", term.baton())) + 1;
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < values.size() && written.size() < valuesAtOnce; i++) {
            if (!dirty.contains(i)) {
                continue;
            }
            List<RosterRecord.Host> hosts = new ArrayList<>();
            for (String id : values.get(i)) {
                Machine m = machines.get(id);
                m.wantsNewBaton |= upkeepDue && m.wantsUpkeep;
                if (m.wantsNewBaton) {
                    raised.add(m);
                }
                if (!m.rostered) {
                    enrolled.add(m);
                }
                hosts.add(m.rosterRow(m.wantsNewBaton ? drawn : m.baton));
            }
            written.add(i);
            changes.add(Change.write(Keys.ROSTER + i, new RosterRecord(hosts).toMap()));
        }
        // A change that comes while the transaction is under way makes its value dirty once more.
        dirty.removeAll(written);
        if (!raised.isEmpty()) {
            changes.add(Change.write(Keys.BATON, Leadership.batonRecord(config.node(), term.baton(), drawn)));
        }
        nextMicros = timers.nowMicros() + (long) (changes.size() * 1e6 / (ledger.writesPerSecond() * WRITE_SHARE));
        return changes;
    }

    private void recorded() {
        written.clear();
        upkeepDue &= !dirty.isEmpty();
        for (Machine m : enrolled) {
            m.rostered = true;
        }
        for (Machine m : raised) {
            m.wantsNewBaton = false;
            m.wantsUpkeep = false;
            m.baton = drawn;
            raisedListener.accept(m);
        }
        if (!dirty.isEmpty()) {
            changed(dirty.iterator().next());
        }
        recordedListener.run();
    }
}
