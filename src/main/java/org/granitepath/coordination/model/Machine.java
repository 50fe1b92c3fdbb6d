package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.List;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.MachineProfile;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A machine of the leader's inventory: its life cycle, what is known of its worker, under which fencing token it is
 * commanded, and the tasks placed on it. State changes through the named methods alone.
 */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);
    /** The cloud charges at least this much time for each machine. */
    public static final long MINIMUM_CHARGE_MICROS = 60_000_000;

    /**
     * {@code UNCONFIRMED}: no heartbeat under its present fencing token yet, so its tasks are not known for certain.
     * {@code DRAINING}: takes no new tasks. {@code TERMINATING}: the cloud was asked to take it and may do so now.
     */
    public enum Phase {
        UNCONFIRMED,
        READY,
        DRAINING,
        TERMINATING,
        GONE;

        /** Whether a machine may go from this phase to the next one. */
        boolean canTransitionTo(Phase next) {
            return switch (this) {
                case UNCONFIRMED -> next == READY || next == TERMINATING || next == GONE;
                case READY -> next == UNCONFIRMED || next == DRAINING || next == TERMINATING || next == GONE;
                case DRAINING -> next == TERMINATING || next == GONE;
                case TERMINATING -> next == GONE;
                case GONE -> false;
            };
        }
    }

    private final String id;
    private final MachineProfile profile;
    private final WorkerContact contact;
    private final InventoryEntry inventory = new InventoryEntry();
    private final MachineCapacity capacity = new MachineCapacity();
    private final CapacityHold capacityHold = new CapacityHold();
    private final MachinePlacements placements = new MachinePlacements(capacity);
    private final MessageFindings findings = new MessageFindings();
    private Phase phase = Phase.UNCONFIRMED;

    private boolean awaitingFirstHeartbeat;
    private long unconfirmedSinceMicros;
    private long idleSinceMicros;
    private long launchedMicros;

    /** A machine from which no heartbeat has come yet. */
    public Machine(String id, String address, String typeName, String zone, boolean spot) {
        this.id = id;
        this.contact = new WorkerContact(address);
        this.profile = new MachineProfile(typeName, zone, spot);
    }

    // ---- what it is --------------------------------------------------------------------------------------------

    /** The name that the cloud gave it. */
    public String id() {
        return id;
    }

    /** The name of its type. */
    public String typeName() {
        return profile.type();
    }

    /** The zone in which it stands. */
    public String zone() {
        return profile.zone();
    }

    /** Whether the cloud may take it back at any time. */
    public boolean isSpot() {
        return profile.spot();
    }

    /** What of it decides which jobs it may hold. */
    public MachineProfile profile() {
        return profile;
    }

    /** What is known of its worker. */
    public WorkerContact contact() {
        return contact;
    }

    /** What of it is used and free. */
    public MachineCapacity capacity() {
        return capacity;
    }

    /** Its type, or null while the cloud has not told of it. */
    public @Nullable MachineType type() {
        return capacity.type();
    }

    /** The cloud's word on its type has come, or changed; null: there is none. */
    void setType(@Nullable MachineType known) {
        capacity.setType(known);
    }

    // ---- life cycle --------------------------------------------------------------------------------------------

    /** Where it is in its life cycle. */
    public Phase phase() {
        return phase;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException("machine " + id + " can't go from " + phase + " to " + next);
        }
        LOG.info(
                "machine {} ({} {}{}): {} -> {} ({})",
                id,
                typeName(),
                zone(),
                isSpot() ? " spot" : "",
                phase,
                next,
                why);
        phase = next;
    }

    /**
     * A heartbeat under the present fencing token has come, so its tasks are known. Changes nothing on a machine that
     * drains or is being terminated: it gets no tasks again.
     */
    public void confirmTasks() {
        if (phase == Phase.UNCONFIRMED) {
            transition(Phase.READY, "heartbeat under fencing token " + fencingToken());
        }
    }

    /** What is on it is not known for certain any more: nothing is placed there until it is confirmed anew. */
    public void markUnconfirmed(long nowMicros, String why) {
        if (phase == Phase.READY) {
            transition(Phase.UNCONFIRMED, why);
            unconfirmedSinceMicros = nowMicros;
        }
    }

    /** Takes no new tasks from now on. */
    public void drain(String why) {
        if (phase == Phase.READY) {
            transition(Phase.DRAINING, why);
        }
    }

    /** The cloud is about to be asked to take it. */
    public void markTerminating(String why) {
        transition(Phase.TERMINATING, why);
    }

    /** Nothing can be on it any more, and nothing will be. */
    public void markGone(String why) {
        transition(Phase.GONE, why);
    }

    /** Whether it is proved to be gone for good. */
    public boolean isGone() {
        return phase == Phase.GONE;
    }

    /** Whether tasks may be placed on it, free capacity aside. */
    public boolean isSchedulable() {
        return phase == Phase.READY && inventory.isRecorded() && !inventory.needsNewToken() && capacity.type() != null;
    }

    // ---- taking over and joining -------------------------------------------------------------------------------

    /** It was on record when the term began: its tasks are unknown until its first heartbeat. */
    void takeOver(long nowMicros, long formerLeaseExpiryMicros) {
        awaitingFirstHeartbeat = true;
        contact.takeOver(nowMicros, formerLeaseExpiryMicros);
        idleSinceMicros = nowMicros;
        unconfirmedSinceMicros = nowMicros;
    }

    /** What a former leader left on it is known, or it is gone. */
    public void resolveTakeover() {
        awaitingFirstHeartbeat = false;
    }

    /** Whether it was taken over and is still awaited. */
    public boolean isAwaitingFirstHeartbeat() {
        return awaitingFirstHeartbeat;
    }

    /** Its first heartbeat has come, and it is to be commanded under this fencing token. */
    void joinFleet(long token, long nowMicros) {
        inventory.joinFleet(token);
        launchedMicros = nowMicros;
        unconfirmedSinceMicros = nowMicros;
        idleSinceMicros = nowMicros;
    }

    // ---- inventory and fencing token ---------------------------------------------------------------------------

    /** Where and under which fencing token it is on record. */
    public InventoryEntry inventory() {
        return inventory;
    }

    /** The fencing token under which it is commanded. */
    public long fencingToken() {
        return inventory.fencingToken();
    }

    /** Its row in the inventory, with this fencing token. */
    public InventoryRecord.Host inventoryRow(long withToken) {
        return new InventoryRecord.Host(id, contact.address(), typeName(), zone(), isSpot(), withToken);
    }

    // ---- what its worker says ----------------------------------------------------------------------------------

    /**
     * A heartbeat that the worker sent by itself has come.
     *
     * @param wasUnresponsive whether heartbeats were overdue for long: it could show nothing and get no work
     */
    public void recordHeartbeat(boolean wasUnresponsive, long nowMicros) {
        if (wasUnresponsive) {
            unconfirmedSinceMicros = nowMicros;
            idleSinceMicros = nowMicros;
        }
        contact.recordHeartbeat(nowMicros);
    }

    /** Since when a heartbeat under its present fencing token is awaited. */
    public long unconfirmedSinceMicros() {
        return unconfirmedSinceMicros;
    }

    /** The worker's lease is over: its next message, if any, is of a later agent epoch. */
    public void expireLease() {
        contact.expireLease();
        findings.clearCleanupCommands();
    }

    // ---- findings of the latest message ------------------------------------------------------------------------

    /** Commands that the latest message calls for: stops of orphaned tasks, and the clearing of exited ones. */
    public List<WorkerCommand> cleanupCommands() {
        return findings.cleanupCommands();
    }

    /** The latest message calls for this command. */
    public void addCleanupCommand(WorkerCommand command) {
        findings.addCleanupCommand(command);
    }

    /** A message is about to be compared with the records: what the one before called for is void. */
    public void clearFindings() {
        findings.clear();
    }

    /** The message lists a task of which nothing can be decided: it may not be cut short. */
    public void addUnconfirmedTask() {
        findings.addUnconfirmedTask();
    }

    // ---- capacity held back ------------------------------------------------------------------------------------

    /** Whether it is idle, but kept as headroom for live services: other work may use it meanwhile. */
    public boolean isHeadroom() {
        return capacityHold.isHeadroom();
    }

    /** Whether it is kept though it is idle. */
    public void setHeadroom(boolean keep) {
        capacityHold.setHeadroom(keep);
    }

    /** The gang for which its free capacity is held, or null. Live services may use it all the same. */
    public @Nullable ActiveJob reservedFor() {
        return capacityHold.reservedFor();
    }

    /** Holds its free capacity for this gang. */
    public void reserveFor(ActiveJob gang) {
        capacityHold.reserveFor(gang);
    }

    /** Ends the reservation, whoever it is for. */
    public void endReservation() {
        capacityHold.endReservation();
    }

    /** Ends the reservation if it is for this gang. */
    public void endReservationFor(ActiveJob gang) {
        capacityHold.endReservationFor(gang);
    }

    // ---- idle and charged times --------------------------------------------------------------------------------

    /** Since when it has had no placement, or could have had none. */
    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** When it was launched, as far as we know. */
    public long launchedMicros() {
        return launchedMicros;
    }

    /** The cloud has told since when it is charged. */
    public void setLaunchedMicros(long chargedSinceMicros) {
        launchedMicros = chargedSinceMicros;
    }

    // ---- placements and capacity -------------------------------------------------------------------------------

    /** The attempts placed here, in the order in which they came. */
    public Collection<Placement> placements() {
        return placements.all();
    }

    /** The attempt of this task that is placed here, or null. */
    public @Nullable Placement placement(TaskId task) {
        return placements.get(task);
    }

    /** Whether any attempt is placed here. */
    public boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** Whether nothing is on it that must not be cut short. */
    public boolean isEmpty() {
        return placements.isEmpty() && !findings.hasUnconfirmedTasks();
    }

    /** An attempt is placed here. */
    public void add(Placement placement) {
        placements.add(placement);
    }

    /** An attempt is proved gone. */
    public void remove(Placement placement, long nowMicros) {
        if (placements.remove(placement) && placements.isEmpty()) {
            idleSinceMicros = nowMicros;
        }
    }

    /** Whether a task here waits for this image, so that one more need not fetch it anew. */
    public boolean isFetching(String image) {
        return placements.isFetching(image);
    }

    /** How many tasks of this shape fit once all but the services here has ended. */
    public int slotsBesideServices(JobSpec spec) {
        return placements.slotsBesideServices(spec);
    }

    /** Whether a job may use this machine at all, capacity and other tasks aside. */
    public boolean isAllowedFor(JobSpec spec) {
        return profile.canRun(spec);
    }
}
