package org.granitepath.coordination;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.granitepath.bookkeeping.InventoryRecord;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A machine of the leader's inventory: its life cycle, what its worker was last heard to say, under which fencing token
 * it is commanded, and the tasks placed on it. State changes through the named methods alone.
 */
final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);
    private static final int IMAGES_REMEMBERED = 16;
    private static final long UNKNOWN_SESSION = -1;
    /** No worker command is numbered so, since sequence numbers start at 0. */
    private static final long NO_SEQUENCE = -1;

    private static final int NOT_IN_INVENTORY = -1;

    /**
     * {@code UNCONFIRMED}: not heard under its present fencing token, so its tasks are not known for certain. {@code
     * DRAINING}: takes no new tasks. {@code RETURNING}: the cloud was asked to take it; it may vanish at any moment.
     */
    enum Phase {
        UNCONFIRMED,
        READY,
        DRAINING,
        RETURNING,
        GONE;

        /** Whether a machine may go from this phase to the next one. */
        boolean allows(Phase next) {
            return switch (this) {
                case UNCONFIRMED -> next == READY || next == RETURNING || next == GONE;
                case READY -> next == UNCONFIRMED || next == DRAINING || next == RETURNING || next == GONE;
                case DRAINING -> next == RETURNING || next == GONE;
                case RETURNING -> next == GONE;
                case GONE -> false;
            };
        }
    }

    private final String id;
    private final String typeName;
    private final String zone;
    private final boolean spot;
    private String address;
    private MachineType type;
    private Phase phase = Phase.UNCONFIRMED;

    private long fencingToken;
    private boolean recorded;
    private int inventoryPart = NOT_IN_INVENTORY;
    private boolean needsNewToken;
    private boolean needsTokenForCleanup;
    private boolean inherited;

    private long session = UNKNOWN_SESSION;
    private long sequence = NO_SEQUENCE;
    private long heardMicros;
    private boolean probeFailed;
    private long probedMicros;
    private long unconfirmedMicros;
    private long leaseOverMicros;
    private boolean fenced;
    private boolean callUnderWay;

    private boolean keptAsHeadroom;
    private ActiveJob reservedFor;
    private long idleSinceMicros;
    private long rentedMicros;

    private final Map<TaskId, Placement> placements = new LinkedHashMap<>();
    private final Collection<Placement> placementsView = Collections.unmodifiableCollection(placements.values());
    /** Attempts started by a direct command, each with the fencing token of the command. */
    private final Long2LongOpenHashMap directAttempts = new Long2LongOpenHashMap();

    private final List<WorkerCommand> cleanupCommands = new ArrayList<>();
    private int tasksInDoubt;

    private final LinkedHashSet<String> images = new LinkedHashSet<>();
    private long cpuUsed;
    private long gpuUsed;
    private long memoryUsed;
    private int services;
    private long servicesCpu;

    Machine(String id, String address, String typeName, String zone, boolean spot) {
        this.id = id;
        this.address = address;
        this.typeName = typeName;
        this.zone = zone;
        this.spot = spot;
    }

    // ---- what it is --------------------------------------------------------------------------------------------

    String id() {
        return id;
    }

    String typeName() {
        return typeName;
    }

    String zone() {
        return zone;
    }

    boolean spot() {
        return spot;
    }

    /** Where its worker takes direct commands, as of its latest message. */
    String address() {
        return address;
    }

    /** Its type, or null while the cloud has not told of it. */
    MachineType type() {
        return type;
    }

    /** The cloud's word on its type has come, or changed; null: there is none. */
    void typeKnown(MachineType known) {
        type = known;
    }

    // ---- life cycle --------------------------------------------------------------------------------------------

    Phase phase() {
        return phase;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.allows(next)) {
            throw new IllegalStateException("machine " + id + " can't go from " + phase + " to " + next);
        }
        LOG.info("machine {} ({} {}{}): {} -> {} ({})", id, typeName, zone, spot ? " spot" : "", phase, next, why);
        phase = next;
    }

    /** Its worker is heard under the present fencing token, so its tasks are known. */
    void confirmed() {
        if (phase == Phase.UNCONFIRMED) {
            transition(Phase.READY, "heard under fencing token " + fencingToken);
        }
    }

    /** What is on it is not known for certain any more. */
    void unconfirmed(long nowMicros, String why) {
        if (phase == Phase.READY) {
            transition(Phase.UNCONFIRMED, why);
            unconfirmedMicros = nowMicros;
        }
    }

    /** Takes no new tasks from now on. */
    void drain(String why) {
        if (phase == Phase.READY) {
            transition(Phase.DRAINING, why);
        }
    }

    /** The cloud is about to be asked to take it. */
    void returning(String why) {
        transition(Phase.RETURNING, why);
    }

    /** Nothing can be on it any more, and nothing will be. */
    void gone(String why) {
        transition(Phase.GONE, why);
    }

    /** Whether it is proved to be gone for good. */
    boolean isGone() {
        return phase == Phase.GONE;
    }

    boolean takesTasks() {
        return phase == Phase.READY && recorded && !needsNewToken && type != null;
    }

    // ---- taking over and joining -------------------------------------------------------------------------------

    /** It was on record when the term began: its tasks are unknown until it is heard. */
    void takenOver(long nowMicros, long formerLeaseOverMicros) {
        inherited = true;
        heardMicros = nowMicros;
        idleSinceMicros = nowMicros;
        unconfirmedMicros = nowMicros;
        leaseOverMicros = formerLeaseOverMicros;
    }

    /** What a former leader left on it is known, or it is gone. */
    void takeoverResolved() {
        inherited = false;
    }

    /** Whether it was taken over and is still to be heard. */
    boolean inherited() {
        return inherited;
    }

    /** It reports for the first time and is to be commanded under this fencing token. */
    void joined(long token, long nowMicros) {
        fencingToken = token;
        rentedMicros = nowMicros;
        unconfirmedMicros = nowMicros;
        idleSinceMicros = nowMicros;
    }

    // ---- inventory and fencing token ---------------------------------------------------------------------------

    /** The fencing token under which it is commanded. */
    long fencingToken() {
        return fencingToken;
    }

    /** It was found on record, in this part of the inventory, and belongs to the leader with this fencing token. */
    void foundOnRecord(int part, long token) {
        inventoryPart = part;
        recorded = true;
        fencingToken = token;
    }

    /** The part of the inventory that holds its row, on record or to be written. */
    int inventoryPart() {
        return inventoryPart;
    }

    void putInPart(int part) {
        inventoryPart = part;
    }

    /** Whether the store has it in our inventory under its fencing token. Nothing starts before. */
    boolean recorded() {
        return recorded;
    }

    void onRecord() {
        recorded = true;
    }

    /** Whether it takes no tasks before a higher fencing token is on record for it. */
    boolean needsNewToken() {
        return needsNewToken;
    }

    void requireNewToken() {
        needsNewToken = true;
    }

    /** Whether it needs a higher fencing token only so that exited attempts can be cleared, which can wait. */
    boolean needsTokenForCleanup() {
        return needsTokenForCleanup;
    }

    void requireTokenForCleanup() {
        needsTokenForCleanup = true;
    }

    /** The time has come to draw the fencing tokens that could wait. */
    void cleanupTokenDue() {
        needsNewToken |= needsTokenForCleanup;
    }

    /** A higher fencing token is on record for it. */
    void tokenRaised(long token) {
        needsNewToken = false;
        needsTokenForCleanup = false;
        fencingToken = token;
    }

    /** Its row in the inventory, with this fencing token. */
    InventoryRecord.Host inventoryRow(long withToken) {
        return new InventoryRecord.Host(id, address, typeName, zone, spot, withToken);
    }

    // ---- what its worker says ----------------------------------------------------------------------------------

    /** The worker's latest session; negative: unknown. */
    long session() {
        return session;
    }

    /** The number of the worker's latest message in its session; negative: none. */
    long sequence() {
        return sequence;
    }

    /** A newer message of the worker has come, by itself or as the answer to a direct call. */
    void messageReceived(Heartbeat message) {
        session = message.session();
        sequence = message.sequence();
        address = message.address();
    }

    /**
     * The worker has reported by itself. Answers to direct calls don't count here: without reports the worker's lease
     * runs out all the same.
     *
     * @param wasUnresponsive whether it had been silent for long: it could neither show anything nor be given work
     */
    void heartbeatReceived(boolean wasUnresponsive, long nowMicros) {
        if (wasUnresponsive) {
            unconfirmedMicros = nowMicros;
            idleSinceMicros = nowMicros;
        }
        heardMicros = nowMicros;
        probeFailed = false;
        fenced = false;
    }

    /** When its worker last reported by itself. */
    long heardMicros() {
        return heardMicros;
    }

    /** This process stood still for so long: the machine was not silent for that time. */
    void excusePause(long pauseMicros, long nowMicros) {
        heardMicros = Math.min(nowMicros, heardMicros + pauseMicros);
    }

    /** Whether a report is overdue by so much that an order would hardly arrive. */
    boolean unresponsive(long nowMicros, long reportMicros) {
        return nowMicros - heardMicros > 2 * reportMicros + 1_000_000;
    }

    /** Since when it has not been heard under its present fencing token. */
    long unconfirmedMicros() {
        return unconfirmedMicros;
    }

    // ---- lease -------------------------------------------------------------------------------------------------

    /**
     * From this moment on nobody can have kept the worker's lease alive, provided that we don't either; 0 when it is
     * over.
     */
    long leaseOverMicros() {
        return leaseOverMicros;
    }

    /** The worker may go on until then; only a message under the present fencing token can shorten that. */
    void leaseRunsUntil(long micros, boolean underPresentToken) {
        leaseOverMicros = underPresentToken ? micros : Math.max(leaseOverMicros, micros);
    }

    /** The worker's lease is over: it is heard again in a later session, if ever. */
    void leaseExpired() {
        leaseOverMicros = 0;
        session = Math.max(session, 0) + 1;
        sequence = NO_SEQUENCE;
        cleanupCommands.clear();
        directAttempts.clear();
    }

    /**
     * Whether a fencing token is on record that was drawn since its latest report and never sent to it: no controller
     * in contact with the store lets the worker go on under the one it has. While this holds, it is not called.
     */
    boolean fenced() {
        return fenced;
    }

    void fence() {
        fenced = true;
    }

    void liftFence() {
        fenced = false;
    }

    // ---- direct calls ------------------------------------------------------------------------------------------

    boolean callUnderWay() {
        return callUnderWay;
    }

    /** A direct call begins. The worker may see the token, and a lease keeper that knows it may go on under it. */
    void callBegins(long nowMicros) {
        callUnderWay = true;
        fenced = false;
        probedMicros = nowMicros;
    }

    void callEnded() {
        callUnderWay = false;
    }

    /** Whether the call that has ended brought a message of the worker. */
    void callAnswered(boolean answered) {
        probeFailed = !answered && heardMicros < probedMicros;
    }

    /** When it was last called. */
    long probedMicros() {
        return probedMicros;
    }

    /** Whether it was called since its latest report, and there was no answer. */
    boolean probeFailed() {
        return probeFailed;
    }

    /** An attempt is started by a direct command under the present fencing token; a late copy may come any time. */
    void startedDirectly(long attempt) {
        directAttempts.put(attempt, fencingToken);
    }

    /** Whether a late copy of the direct command that started the attempt could still be carried out. */
    boolean mayBeStartedAgain(long attempt) {
        return directAttempts.get(attempt) >= fencingToken;
    }

    void forgetDirectStart(long attempt) {
        directAttempts.remove(attempt);
    }

    // ---- findings of the latest message ------------------------------------------------------------------------

    /** Commands that the latest message calls for: stops of orphaned tasks, and the clearing of exited ones. */
    List<WorkerCommand> cleanupCommands() {
        return Collections.unmodifiableList(cleanupCommands);
    }

    void addCleanup(WorkerCommand command) {
        cleanupCommands.add(command);
    }

    /** A message is about to be compared with the records: what the one before called for is void. */
    void clearFindings() {
        cleanupCommands.clear();
        tasksInDoubt = 0;
    }

    /** The message lists a task of which nothing can be decided: it may not be cut short. */
    void taskInDoubt() {
        tasksInDoubt++;
    }

    // ---- capacity held back ------------------------------------------------------------------------------------

    /** Whether it is idle, but kept as headroom for live services: other work may use it meanwhile. */
    boolean keptAsHeadroom() {
        return keptAsHeadroom;
    }

    void keepAsHeadroom(boolean keep) {
        keptAsHeadroom = keep;
    }

    /** The gang for which its free room is held, or null. Live services may use it all the same. */
    ActiveJob reservedFor() {
        return reservedFor;
    }

    void reserveFor(ActiveJob gang) {
        reservedFor = gang;
    }

    /** Ends the reservation, whoever it is for. */
    void endReservation() {
        reservedFor = null;
    }

    /** Ends the reservation if it is for this gang. */
    void endReservationFor(ActiveJob gang) {
        if (reservedFor == gang) {
            reservedFor = null;
        }
    }

    /** Since when it has had no placement, or could have had none. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** When it was rented, as far as we know. */
    long rentedMicros() {
        return rentedMicros;
    }

    void rentedAt(long micros) {
        rentedMicros = micros;
    }

    // ---- placements and capacity -------------------------------------------------------------------------------

    /** The attempts placed here, in the order in which they came. */
    Collection<Placement> placements() {
        return placementsView;
    }

    /** The attempt of this task that is placed here, or null. */
    Placement placement(TaskId task) {
        return placements.get(task);
    }

    boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** Whether nothing is on it that must not be cut short. */
    boolean isEmpty() {
        return placements.isEmpty() && tasksInDoubt == 0;
    }

    void add(Placement placement) {
        placements.put(placement.task(), placement);
        JobSpec spec = placement.job().spec();
        cpuUsed += spec.cpuMillis();
        gpuUsed += spec.gpuMillis();
        memoryUsed += spec.memoryMillis();
        countService(spec, 1);
    }

    void remove(Placement placement, long nowMicros) {
        if (placements.remove(placement.task(), placement)) {
            JobSpec spec = placement.job().spec();
            cpuUsed -= spec.cpuMillis();
            gpuUsed -= spec.gpuMillis();
            memoryUsed -= spec.memoryMillis();
            countService(spec, -1);
            if (placements.isEmpty()) {
                idleSinceMicros = nowMicros;
            }
        }
    }

    private void countService(JobSpec spec, int sign) {
        if (spec.service()) {
            services += sign;
            servicesCpu += sign * spec.cpuMillis();
        }
    }

    /** A task that needs this image runs here, so the machine has it. */
    void imageSeen(String image) {
        images.remove(image);
        images.add(image);
        if (images.size() > IMAGES_REMEMBERED) {
            images.remove(images.iterator().next());
        }
    }

    boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Whether a task here waits for this image, so that one more need not fetch it anew. */
    boolean fetches(String image) {
        for (Placement placement : placements.values()) {
            if (!placement.hasRun() && placement.job().spec().image().equals(image)) {
                return true;
            }
        }
        return false;
    }

    boolean hostsService() {
        return services > 0;
    }

    long cpuUsedByServices() {
        return servicesCpu;
    }

    double cpuUsedShare() {
        return type == null ? 0 : (double) cpuUsed / type.cpuMillis();
    }

    long cpuFree() {
        return type == null ? 0 : type.cpuMillis() - cpuUsed;
    }

    boolean hasFree(long cpuMillis, long memoryMillis) {
        return type.cpuMillis() - cpuUsed >= cpuMillis && type.memoryMillis() - memoryUsed >= memoryMillis;
    }

    boolean hasRoom(JobSpec spec) {
        return slots(spec, 0, 0, 0) > 0;
    }

    /** How many tasks of this shape fit once all but the services here has ended. */
    int slotsBesideServices(JobSpec spec) {
        long cpu = 0;
        long gpu = 0;
        long memory = 0;
        for (Placement placement : placements.values()) {
            JobSpec other = placement.job().spec();
            if (!other.service()) {
                cpu += other.cpuMillis();
                gpu += other.gpuMillis();
                memory += other.memoryMillis();
            }
        }
        return slots(spec, cpu, gpu, memory);
    }

    /** How many tasks of this shape fit, were this much more free. */
    int slots(JobSpec spec, long moreCpu, long moreGpu, long moreMemory) {
        if (type == null) {
            return 0;
        }
        return MachineType.slots(
                spec,
                type.cpuMillis() - cpuUsed + moreCpu,
                type.gpuMillis() - gpuUsed + moreGpu,
                type.memoryMillis() - memoryUsed + moreMemory);
    }

    /** Whether a job may use this machine at all, room and other tasks aside. */
    boolean allowedFor(JobSpec spec) {
        return spec.allowsType(typeName) && spec.allowsZone(zone) && (spec.spot() || !spot);
    }
}
