package org.granitepath.coordination.leadership;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller that is cut off with machines of its zone keeps their leases alive for the leader, so that work goes
 * on there. It starts nothing: it answers under the fencing token on record, which the worker must have seen, and
 * stops what it knows to be over. It does so for as long as a leader out of contact may, and only for machines of its
 * own zone; the leader counts on that before it takes a silent machine's tasks for gone.
 */
public final class ZoneLeaseKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneLeaseKeeper.class);

    private final Config config;
    private final RecordReplica replica;
    private final Predicate<String> jobHasEnded;
    private final Peers peers;
    private final Timers timers;
    /**
     * The present fencing token of each machine on record, as of the contact with the store at
     * {@link #asOfMicros}.
     */
    private final Object2LongOpenHashMap<String> fencingTokens = new Object2LongOpenHashMap<>();

    private long asOfMicros = Long.MIN_VALUE;

    /** @param jobHasEnded whether the job of this name is done or cancelled, as far as this controller knows */
    public ZoneLeaseKeeper(
            Config config, RecordReplica replica, Predicate<String> jobHasEnded, Peers peers, Timers timers) {
        this.config = config;
        this.replica = replica;
        this.jobHasEnded = jobHasEnded;
        this.peers = peers;
        this.timers = timers;
    }

    /** Whether this controller may answer the worker in the place of the leader. */
    public boolean mayRenew(Heartbeat heartbeat) {
        if (!replica.loaded() || !heartbeat.zone().equals(config.identity().zone())) {
            return false;
        }
        long age = timers.nowMicros() - replica.lastContactMicros();
        if (age < Config.CONTACT_TIMEOUT_MICROS
                || age > config.workers().maxDisconnectedMicros()
                || peers.leaderRecentlyHeard()
                || peers.anyConnected(Config.CONTACT_TIMEOUT_MICROS)) {
            return false;
        }
        if (asOfMicros != replica.lastContactMicros()) {
            asOfMicros = replica.lastContactMicros();
            readTokens();
            LOG.info(
                    "out of contact, and the leader is not heard: keeping the machines of {} alive for it",
                    config.identity().zone());
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
    public HeartbeatResponse answer(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus r : heartbeat.tasks()) {
            if (r.state() != TaskState.EXITED && jobHasEnded.test(r.task().job())) {
                commands.add(WorkerCommand.stop(r.task(), r.attempt(), 0));
            }
        }
        return new HeartbeatResponse.Accepted(heartbeat.fencingToken(), commands);
    }
}
