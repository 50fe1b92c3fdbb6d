package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.granitepath.bookkeeping.FencingTokenRecord;
import org.granitepath.bookkeeping.InventoryRecord;
import org.granitepath.bookkeeping.RecordReplica;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.Heartbeat.TaskReport;
import org.granitepath.coordination.Heartbeat.TaskState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller that is cut off with machines of its zone keeps their leases alive for the leader, so that work goes
 * on there. It starts nothing: it answers under the fencing token on record, which the worker must have seen, and
 * stops what it knows to be over. It does so for as long as a leader out of contact may, and only for machines of its
 * own zone; the leader counts on that before it takes a silent machine's tasks for gone.
 */
final class ZoneLeaseKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneLeaseKeeper.class);

    private final Config config;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final Peers peers;
    private final Timers timers;
    /**
     * The present fencing token of each machine on record, as of the contact with the state service at
     * {@link #asOfMicros}.
     */
    private final Object2LongOpenHashMap<String> fencingTokens = new Object2LongOpenHashMap<>();

    private long asOfMicros = Long.MIN_VALUE;

    ZoneLeaseKeeper(Config config, RecordReplica replica, JobIndex jobIndex, Peers peers, Timers timers) {
        this.config = config;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.peers = peers;
        this.timers = timers;
    }

    boolean mayRenew(Heartbeat heartbeat) {
        if (!replica.loaded() || !heartbeat.zone().equals(config.zone())) {
            return false;
        }
        long age = timers.nowMicros() - replica.lastContactMicros();
        if (age < Controller.CUT_OFF_MICROS
                || age > config.maxDisconnectedMicros()
                || peers.leaderHeard()
                || peers.anyInTouch(Controller.CUT_OFF_MICROS)) {
            return false;
        }
        if (asOfMicros != replica.lastContactMicros()) {
            asOfMicros = replica.lastContactMicros();
            readTokens();
            LOG.info(
                    "out of contact, and the leader is not heard: keeping the machines of {} alive for it",
                    config.zone());
        }
        return heartbeat.fencingToken() > 0 && fencingTokens.getLong(heartbeat.host()) == heartbeat.fencingToken();
    }

    private void readTokens() {
        fencingTokens.clear();
        FencingTokenRecord counter = replica.fencingToken();
        long term = counter == null ? 0 : counter.term();
        for (int part = 0; part < replica.inventoryParts(); part++) {
            InventoryRecord hosts = replica.inventory(part);
            if (hosts != null) {
                hosts.hosts().forEach(host -> fencingTokens.put(host.id(), Math.max(term, host.fencingToken())));
            }
        }
    }

    /**
     * The leader's fencing token once more, and the end of what is over: a cancellation must not outlive its time
     * here.
     */
    HeartbeatResponse answer(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskReport r : heartbeat.tasks()) {
            if (r.state() != TaskState.EXITED && jobIndex.finalOf(r.task().job()) != null) {
                commands.add(WorkerCommand.stop(r.task(), r.attempt(), 0));
            }
        }
        return new HeartbeatResponse.Accepted(heartbeat.fencingToken(), commands);
    }
}
