package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.granitepath.bookkeeping.Fields;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.Mirror;
import org.granitepath.bookkeeping.RosterRecord;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.Beat.TaskReport;
import org.granitepath.coordination.Beat.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller that is cut off with machines of its zone keeps their leases alive for the owner, so that work goes on
 * there. It starts nothing: it answers under the baton on record, which the worker must have seen, and stops what it
 * knows to be over. It does so for as long as an owner out of touch may, and only for machines of its own zone; the
 * owner counts on that before it takes a silent machine's tasks for gone.
 */
final class Deputy {
    private static final Logger LOG = LoggerFactory.getLogger(Deputy.class);

    private final Config config;
    private final Mirror mirror;
    private final JobBook book;
    private final Peers peers;
    private final Timers timers;
    /** The present baton of each machine on record, as of the contact with the state service at {@link #asOfMicros}. */
    private final Object2LongOpenHashMap<String> batons = new Object2LongOpenHashMap<>();

    private long asOfMicros = Long.MIN_VALUE;

    Deputy(Config config, Mirror mirror, JobBook book, Peers peers, Timers timers) {
        this.config = config;
        this.mirror = mirror;
        this.book = book;
        this.peers = peers;
        this.timers = timers;
    }

    boolean vouchesFor(Beat beat) {
        if (!mirror.loaded() || !beat.zone().equals(config.zone())) {
            return false;
        }
        long age = timers.nowMicros() - mirror.lastContactMicros();
        if (age < Controller.CUT_OFF_MICROS
                || age > config.holdMicros()
                || peers.ownerHeard()
                || peers.anyInTouch(Controller.CUT_OFF_MICROS)) {
            return false;
        }
        if (asOfMicros != mirror.lastContactMicros()) {
            asOfMicros = mirror.lastContactMicros();
            readBatons();
            LOG.info(
                    "out of touch, and the owner is not heard: keeping the machines of {} alive for it", config.zone());
        }
        return beat.baton() > 0 && batons.getLong(beat.host()) == beat.baton();
    }

    private void readBatons() {
        batons.clear();
        Map<String, Object> owners = mirror.value(Keys.BATON);
        long term = owners == null ? 0 : Fields.longOf(owners, "term", 0);
        for (int i = 0; mirror.value(Keys.ROSTER + i) != null; i++) {
            for (RosterRecord.Host h :
                    RosterRecord.fromMap(mirror.value(Keys.ROSTER + i)).hosts()) {
                batons.put(h.id(), Math.max(term, h.baton()));
            }
        }
    }

    /** The owner's baton once more, and the end of what is over: a cancellation must not outlive its time here. */
    BeatAnswer answer(Beat beat) {
        List<Order> orders = new ArrayList<>();
        for (TaskReport r : beat.tasks()) {
            if (r.state() != TaskState.EXITED && book.finalOf(r.task().job()) != null) {
                orders.add(Order.stop(r.task(), r.attempt(), 0));
            }
        }
        return new BeatAnswer.Accepted(beat.baton(), orders);
    }
}
