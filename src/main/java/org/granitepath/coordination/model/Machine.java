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
 * A machine of the leader's inventory: its life cycle, the state of its worker, the fencing token of the commands
 * sent to it, and the tasks placed on it. The state changes only through the methods of this class.
 */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);
    /** The minimum run time that the cloud charges for each machine. */
    public static final long MINIMUM_CHARGE_MICROS = 60_000_000;

    /**
     * The life cycle of a machine. {@code UNCONFIRMED}: no heartbeat under its current fencing token has arrived yet,
     * so its tasks are not known for certain. {@code READY}: its tasks are known. {@code DRAINING}: it takes no new
     * tasks. {@code TERMINATING}: the cloud was asked to terminate it and may do so at any moment. {@code GONE}: it is
     * proven to be gone for good.
     */
    public enum Phase {
        UNCONFIRMED,
        READY,
        DRAINING,
        TERMINATING,
        GONE;

        /** Returns whether a machine in this phase may move to the given phase. */
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

    private boolean quarantined;
    private boolean awaitingFirstHeartbeat;
    private long unconfirmedSinceMicros;
    private long idleSinceMicros;
    private long launchedMicros;

    /** Creates a machine that has not sent a heartbeat yet. */
    public Machine(String id, String address, String typeName, String zone, boolean spot) {
        this.id = id;
        this.contact = new WorkerContact(address);
        this.profile = new MachineProfile(typeName, zone, spot);
    }

    /** Returns the name that the cloud gave the machine. */
    public String id() {
        return id;
    }

    /** Returns the name of the machine's type. */
    public String typeName() {
        return profile.type();
    }

    /** Returns the zone of the machine. */
    public String zone() {
        return profile.zone();
    }

    /** Returns whether this is a spot machine, which the cloud may reclaim at any time. */
    public boolean isSpot() {
        return profile.spot();
    }

    /** Returns the properties that decide which jobs may use the machine. */
    public MachineProfile profile() {
        return profile;
    }

    /** Returns what is known of the machine's worker. */
    public WorkerContact contact() {
        return contact;
    }

    /** Returns the used and free resources of the machine. */
    public MachineCapacity capacity() {
        return capacity;
    }

    /** Returns the machine's type, or null while the cloud has not described it. */
    public @Nullable MachineType type() {
        return capacity.type();
    }

    /** Sets the machine's type after the cloud has described or changed it; null if it is not known. */
    void setType(@Nullable MachineType known) {
        capacity.setType(known);
    }

    /** Returns the phase of the machine's life cycle. */
    public Phase phase() {
        return phase;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException("machine " + id + " cannot move from " + phase + " to " + next);
        }
        logTransition(phase.name(), next.name(), why);
        phase = next;
    }

    private void logTransition(String from, String to, String why) {
        LOG.info("machine {} ({} {}{}): {} -> {} ({})", id, typeName(), zone(), isSpot() ? " spot" : "", from, to, why);
    }

    /**
     * Confirms the machine's tasks after a heartbeat under its current fencing token. Does nothing if the machine is
     * draining or terminating, because it never gets tasks again.
     */
    public void confirmTasks() {
        if (phase == Phase.UNCONFIRMED) {
            transition(Phase.READY, "heartbeat under fencing token " + fencingToken());
        }
    }

    /** Marks the machine's tasks as not known for certain. No task is placed on it until it is confirmed again. */
    public void markUnconfirmed(long nowMicros, String why) {
        if (phase == Phase.READY) {
            transition(Phase.UNCONFIRMED, why);
            unconfirmedSinceMicros = nowMicros;
        }
    }

    /** Stops placing new tasks on the machine. */
    public void drain(String why) {
        if (phase == Phase.READY) {
            transition(Phase.DRAINING, why);
        }
    }

    /**
     * Stops placing new tasks on the machine, in whichever phase it is, until {@link #endQuarantine}. Its tasks keep
     * running.
     */
    public void quarantine(String why) {
        if (!quarantined) {
            logTransition(phase.name(), "QUARANTINED", why);
            quarantined = true;
        }
    }

    /** Allows new tasks on the machine again, if its phase does. */
    public void endQuarantine(String why) {
        if (quarantined) {
            logTransition("QUARANTINED", phase.name(), why);
            quarantined = false;
        }
    }

    /** Returns whether the machine is quarantined because it counts as faulty. */
    public boolean isQuarantined() {
        return quarantined;
    }

    /** Marks that the cloud is about to be asked to terminate the machine. */
    public void markTerminating(String why) {
        transition(Phase.TERMINATING, why);
    }

    /** Marks the machine as gone: no task can be on it, now or later. */
    public void markGone(String why) {
        transition(Phase.GONE, why);
    }

    /** Returns whether the machine is proven to be gone for good. */
    public boolean isGone() {
        return phase == Phase.GONE;
    }

    /** Returns whether tasks may be placed on the machine, regardless of its free capacity. */
    public boolean isSchedulable() {
        return phase == Phase.READY
                && !quarantined
                && inventory.isRecorded()
                && !inventory.needsNewToken()
                && capacity.type() != null;
    }

    /**
     * Takes over a machine that was in the inventory when the term began. Its tasks are unknown until its first
     * heartbeat.
     *
     * @param previousLeaseExpiryMicros the latest time until which the previous leader may have extended the lease
     */
    void takeOver(long nowMicros, long previousLeaseExpiryMicros) {
        awaitingFirstHeartbeat = true;
        contact.takeOver(nowMicros, previousLeaseExpiryMicros);
        idleSinceMicros = nowMicros;
        unconfirmedSinceMicros = nowMicros;
    }

    /** Ends the takeover: the tasks that a previous leader left on the machine are known, or the machine is gone. */
    public void resolveTakeover() {
        awaitingFirstHeartbeat = false;
    }

    /** Returns whether the machine was taken over and its first heartbeat in this term is still awaited. */
    public boolean isAwaitingFirstHeartbeat() {
        return awaitingFirstHeartbeat;
    }

    /** Sets the machine's fencing token after its first heartbeat. */
    void joinFleet(long token, long nowMicros) {
        inventory.joinFleet(token);
        launchedMicros = nowMicros;
        unconfirmedSinceMicros = nowMicros;
        idleSinceMicros = nowMicros;
    }

    /** Returns the machine's place in the stored inventory and its fencing token. */
    public InventoryEntry inventory() {
        return inventory;
    }

    /** Returns the fencing token with which commands are sent to the machine. */
    public long fencingToken() {
        return inventory.fencingToken();
    }

    /** Returns the machine's row for the stored inventory, with the given fencing token. */
    public InventoryRecord.MachineRow inventoryRow(long withToken) {
        return new InventoryRecord.MachineRow(id, contact.address(), typeName(), zone(), isSpot(), withToken);
    }

    /**
     * Records a heartbeat that the worker sent on its own.
     *
     * @param wasUnresponsive whether heartbeats had been missing for long; the machine could neither report tasks nor
     *     receive work in that time, so its waiting times start anew
     */
    public void recordHeartbeat(boolean wasUnresponsive, long nowMicros) {
        if (wasUnresponsive) {
            unconfirmedSinceMicros = nowMicros;
            idleSinceMicros = nowMicros;
        }
        contact.recordHeartbeat(nowMicros);
    }

    /** Returns the time since which a heartbeat under the machine's current fencing token is awaited. */
    public long unconfirmedSinceMicros() {
        return unconfirmedSinceMicros;
    }

    /** Records that the worker's lease has expired. Any later message of the worker has a later agent epoch. */
    public void expireLease() {
        contact.expireLease();
        findings.clearCleanupCommands();
    }

    /** Returns the commands that the latest message calls for: stops of orphaned tasks, and clears of exited ones. */
    public List<WorkerCommand> cleanupCommands() {
        return findings.cleanupCommands();
    }

    /** Adds a command that the latest message calls for. */
    public void addCleanupCommand(WorkerCommand command) {
        findings.addCleanupCommand(command);
    }

    /** Drops the findings of the previous message before the next one is compared with the records. */
    public void clearFindings() {
        findings.clear();
    }

    /** Counts a listed task on which no decision is possible. Such a task must not be cut short. */
    public void addUnconfirmedTask() {
        findings.addUnconfirmedTask();
    }

    /** Returns whether the machine is idle and kept as headroom for live services. Other work may use it meanwhile. */
    public boolean isHeadroom() {
        return capacityHold.isHeadroom();
    }

    /** Sets whether the machine is kept as headroom although it is idle. */
    public void setHeadroom(boolean isHeadroom) {
        capacityHold.setHeadroom(isHeadroom);
    }

    /**
     * Returns the gang for which the machine's free capacity is reserved, or null if there is none. Live services may
     * use reserved capacity nevertheless.
     */
    public @Nullable ActiveJob reservedFor() {
        return capacityHold.reservedFor();
    }

    /** Reserves the machine's free capacity for the given gang. */
    public void reserveFor(ActiveJob gang) {
        capacityHold.reserveFor(gang);
    }

    /** Ends the reservation, no matter which gang holds it. */
    public void endReservation() {
        capacityHold.endReservation();
    }

    /** Ends the reservation if the given gang holds it. */
    public void endReservationFor(ActiveJob gang) {
        capacityHold.endReservationFor(gang);
    }

    /**
     * Returns the time since which the machine has had no placement. It starts anew when the machine responds again,
     * because an unresponsive machine cannot receive work.
     */
    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Returns the time at which the machine was launched, as far as this controller knows. */
    public long launchedMicros() {
        return launchedMicros;
    }

    /** Sets the time since which the cloud charges for the machine. */
    public void setLaunchedMicros(long chargedSinceMicros) {
        launchedMicros = chargedSinceMicros;
    }

    /** Returns the attempts placed on this machine, in the order in which they were placed. */
    public Collection<Placement> placements() {
        return placements.all();
    }

    /** Returns the attempt of the given task that is placed on this machine, or null if there is none. */
    public @Nullable Placement placement(TaskId task) {
        return placements.get(task);
    }

    /** Returns whether any attempt is placed on this machine. */
    public boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** Returns whether the machine holds nothing that must not be cut short: no placement and no unconfirmed task. */
    public boolean isEmpty() {
        return placements.isEmpty() && !findings.hasUnconfirmedTasks();
    }

    /** Adds an attempt that is placed on this machine. */
    public void add(Placement placement) {
        placements.add(placement);
    }

    /** Removes an attempt that is proven to be gone. */
    public void remove(Placement placement, long nowMicros) {
        if (placements.remove(placement) && placements.isEmpty()) {
            idleSinceMicros = nowMicros;
        }
    }

    /** Returns whether a task here waits for the image, so that another task need not fetch it again. */
    public boolean isFetching(String image) {
        return placements.isFetching(image);
    }

    /** Returns how many tasks of the job would fit if all tasks here except those of services had ended. */
    public int slotsBesideServices(JobSpec spec) {
        return placements.slotsBesideServices(spec);
    }

    /** Returns whether the job may use this machine at all, regardless of capacity and of other tasks. */
    public boolean isAllowedFor(JobSpec spec) {
        return profile.canRun(spec);
    }
}
