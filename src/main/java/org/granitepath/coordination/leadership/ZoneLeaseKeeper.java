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
 * own zone; the leader counts on that before it takes an unresponsive machine's tasks for gone.
 */
public final class ZoneLeaseKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneLeaseKeeper.class);

    private final Config config;
    private final RecordReplica replica;
    private final Predicate<String> jobHasEnded;
    private final Peers peers;
    private final Timers timers;
    /** The present fencing token of each machine on record, as of the contact at {@link #tokensAsOfMicros}. */
    private final Object2LongOpenHashMap<String> fencingTokens = new Object2LongOpenHashMap<>();

    /** The contact with the store after which the tokens were read. */
    private long tokensAsOfMicros = Long.MIN_VALUE;

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
    public boolean canRenew(Heartbeat heartbeat) {
        if (!replica.loaded() || !heartbeat.zone().equals(config.identity().zone()) || !isCutOffFromLeader()) {
            return false;
        }
        readTokensOncePerContact();
        return heartbeat.fencingToken() > 0 && fencingTokens.getLong(heartbeat.machineId()) == heartbeat.fencingToken();
    }

    /** Whether the store and the leader are out of reach, and have been for no longer than a leader may go on so. */
    private boolean isCutOffFromLeader() {
        long contactAgeMicros = timers.nowMicros() - replica.lastContactMicros();
        return contactAgeMicros >= Config.CONTACT_TIMEOUT_MICROS
                && contactAgeMicros <= config.workers().maxDisconnectedMicros()
                && !peers.hasRecentLeaderStatus()
                && !peers.isAnyPeerConnected(Config.CONTACT_TIMEOUT_MICROS);
    }

    /** The records don't change without contact, and the inventory is too long to be searched for each heartbeat. */
    private void readTokensOncePerContact() {
        if (tokensAsOfMicros == replica.lastContactMicros()) {
            return;
        }
        tokensAsOfMicros = replica.lastContactMicros();
        readTokens();
        LOG.info(
                "out of contact, without a recent status of the leader: keeping the machines of {} alive for it",
                config.identity().zone());
    }

    private void readTokens() {
        fencingTokens.clear();
        FencingTokenRecord counter = replica.fencingToken();
        long termToken = counter == null ? 0 : counter.term();
        for (int part = 0; part < replica.inventoryParts(); part++) {
            InventoryRecord inventory = replica.inventory(part);
            if (inventory != null) {
                inventory
                        .hosts()
                        .forEach(host -> fencingTokens.put(host.id(), Math.max(termToken, host.fencingToken())));
            }
        }
    }

    /**
     * The leader's fencing token once more, and the end of what is over: a cancellation must not outlive its time
     * here.
     */
    public HeartbeatResponse answer(Heartbeat heartbeat) {
        List<WorkerCommand> stops = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.state() != TaskState.EXITED
                    && jobHasEnded.test(status.task().job())) {
                stops.add(WorkerCommand.stop(status.task(), status.attempt(), 0));
            }
        }
        return new HeartbeatResponse.Accepted(heartbeat.fencingToken(), stops);
    }
}
