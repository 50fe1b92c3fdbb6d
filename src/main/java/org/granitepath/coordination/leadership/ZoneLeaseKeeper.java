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
 * Renews the leases of machines on behalf of the leader while this controller and the machines of its zone are cut off
 * together, so that the tasks there keep running. It starts no tasks. It answers a worker only under the fencing token
 * on record, which the worker must know already, and stops tasks of jobs that it knows to have ended. It does so only
 * for machines of its own zone, and no longer than a leader without contact with the store may answer workers. The
 * leader relies on these two limits when it decides that the tasks of an unresponsive machine are gone.
 */
public final class ZoneLeaseKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneLeaseKeeper.class);

    private final Config config;
    private final RecordReplica replica;
    private final Predicate<String> jobHasEnded;
    private final Peers peers;
    private final Timers timers;
    /** The fencing token of each recorded machine, as of the contact at {@link #tokensAsOfMicros}. */
    private final Object2LongOpenHashMap<String> fencingTokens = new Object2LongOpenHashMap<>();

    /** The value of {@link RecordReplica#lastContactMicros} when the tokens were read from the replica. */
    private long tokensAsOfMicros = Long.MIN_VALUE;

    /**
     * Creates the keeper for the machines in the zone of this controller.
     *
     * @param jobHasEnded returns whether the job with this id is done or cancelled, as far as this controller knows
     */
    public ZoneLeaseKeeper(
            Config config, RecordReplica replica, Predicate<String> jobHasEnded, Peers peers, Timers timers) {
        this.config = config;
        this.replica = replica;
        this.jobHasEnded = jobHasEnded;
        this.peers = peers;
        this.timers = timers;
    }

    /** Returns whether this controller may answer the worker on behalf of the leader. */
    public boolean canRenew(Heartbeat heartbeat) {
        if (!replica.isLoaded() || !heartbeat.zone().equals(config.identity().zone()) || !isCutOffFromLeader()) {
            return false;
        }
        readTokensOncePerContact();
        return heartbeat.fencingToken() > 0 && fencingTokens.getLong(heartbeat.machineId()) == heartbeat.fencingToken();
    }

    /**
     * Returns whether the store and the leader are out of reach, directly and through peers, and have been for no
     * longer than a leader without contact may answer workers.
     */
    private boolean isCutOffFromLeader() {
        long contactAgeMicros = timers.nowMicros() - replica.lastContactMicros();
        return contactAgeMicros >= Config.CONTACT_TIMEOUT_MICROS
                && contactAgeMicros <= config.workers().maxDisconnectedMicros()
                && !peers.hasRecentLeaderStatus()
                && !peers.isAnyPeerConnected(Config.CONTACT_TIMEOUT_MICROS);
    }

    /**
     * Reads the tokens from the replica unless they have been read since the last contact with the store. Without
     * contact the records do not change, and the inventory is too long to search for each heartbeat.
     */
    private void readTokensOncePerContact() {
        if (tokensAsOfMicros == replica.lastContactMicros()) {
            return;
        }
        tokensAsOfMicros = replica.lastContactMicros();
        readTokens();
        LOG.info(
                "zone {}: cut off from the store and the leader, renewing the leases of its machines for the leader",
                config.identity().zone());
    }

    private void readTokens() {
        fencingTokens.clear();
        FencingTokenRecord counter = replica.fencingToken();
        long termToken = counter == null ? 0 : counter.fencingToken();
        for (int part = 0; part < replica.inventoryPartCount(); part++) {
            InventoryRecord inventory = replica.inventoryPart(part);
            if (inventory != null) {
                inventory
                        .machines()
                        .forEach(host -> fencingTokens.put(host.id(), Math.max(termToken, host.fencingToken())));
            }
        }
    }

    /**
     * Returns a response that renews the worker's lease under the fencing token that it reported, and stops its tasks
     * of ended jobs: a cancelled task must end in time here as well.
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
