package org.granitepath.recovery;

import java.util.Map;
import org.granitepath.storage.JobSpec;
import org.pcollections.PSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The recovery in one term of leadership: its progress, and which work may start. A task of live work may start once it
 * is proven to be on no machine. All other work is batch work; it is held back until live work is placed, but no longer
 * than a time limit.
 */
public final class RecoveryPlan {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryPlan.class);

    private final long fencingToken;
    private final RecoveryTracer tracer;
    private final AwaitedMachines awaited = new AwaitedMachines();
    private final VerdictCounts counts = new VerdictCounts();
    private final BatchHold batchHold;
    private RecoveryPhase phase = RecoveryPhase.READING;
    private long revision;
    private int machinesTakenOver;

    /**
     * Creates the plan of a term that has just been won.
     *
     * @param batchHoldMicros the longest time for which batch work is held back; 0 if it is not held back at all
     */
    public RecoveryPlan(long fencingToken, long batchHoldMicros, RecoveryTracer tracer) {
        this.fencingToken = fencingToken;
        this.batchHold = new BatchHold(batchHoldMicros);
        this.tracer = tracer;
        tracer.onTermBegan(fencingToken);
        tracer.onPhaseEntered(phase, "term won");
    }

    /** Adds a machine of the inventory to the awaited machines. Call this method before {@link #onRecordsRead}. */
    public void takeOverMachine(String machine, MachineProfile profile) {
        awaited.add(machine, profile);
        machinesTakenOver++;
        tracer.onMachineAwaited(machine);
    }

    /**
     * Adds parts of the inventory that cannot be read. Any machine may be listed in them. For the rest of this term, a
     * task therefore never counts as lost only because no heartbeat has listed it.
     */
    public void takeOverUnreadableParts(int parts) {
        awaited.addUnreadableParts(parts);
    }

    /**
     * Ends the phase {@code READING}: the records are read as of this revision, and heartbeats are evaluated from now
     * on.
     */
    public void onRecordsRead(long revisionRead, long nowMicros) {
        revision = revisionRead;
        batchHold.begin(nowMicros);
        if (awaited.isEmpty()) {
            enter(RecoveryPhase.RECOVERED, "no machine to take over");
        } else {
            enter(RecoveryPhase.RECONCILING, machinesTakenOver + " machines taken over at revision " + revision);
            endHoldIfDue(nowMicros);
        }
    }

    /**
     * Removes a machine from the awaited machines, because it has sent a heartbeat or is proven to be gone.
     *
     * @param proof what the machine has sent, or how it is known to be gone
     * @return whether the verdict on unconfirmed tasks may have changed: it was the last machine of its profile
     */
    public boolean resolveMachine(String machine, MachineProfile profile, String proof) {
        boolean isLastOfProfile = awaited.remove(machine, profile);
        tracer.onMachineResolved(machine, proof);
        if (awaited.isEmpty() && phase == RecoveryPhase.RESUMING_BATCH) {
            enterRecovered();
        }
        return isLastOfProfile;
    }

    /** Returns the verdict on a claimed task of this job that no heartbeat has listed so far. */
    public Verdict verdictOnUnlistedTask(JobSpec spec) {
        return VerdictTable.forUnlistedTask(awaited.canHoldTaskOf(spec));
    }

    /** Adds a verdict on this number of tasks to the counts. */
    public void countVerdicts(Verdict verdict, int tasks) {
        counts.add(verdict, tasks);
    }

    /** Adds this number of attempts to the count of those that were compared with the records. */
    public void countComparisons(int attempts) {
        counts.addComparisons(attempts);
    }

    /** Returns whether the recovery allows tasks of this job to start. */
    public boolean canStart(JobSpec spec) {
        return phase.canStartBatchWork() || (phase != RecoveryPhase.READING && LiveWorkBacklog.isLiveWork(spec));
    }

    /** Ends the hold if its time limit has passed. Called before each scheduling cycle, so that no timer is needed. */
    public void endHoldIfDue(long nowMicros) {
        if (isBatchWorkHeld() && batchHold.hasExpired(nowMicros)) {
            resumeBatch(batchHold.expiryReason());
        }
    }

    /** Updates the phase after a scheduling cycle that has left this backlog of live work. */
    public void onCycleEnded(LiveWorkBacklog backlog) {
        batchHold.setBacklog(backlog);
        if (phase == RecoveryPhase.RECONCILING && backlog.unconfirmedTasks() == 0) {
            enter(RecoveryPhase.RESUMING_LIVE, "no task that goes first is in doubt");
        }
        if (phase == RecoveryPhase.RESUMING_LIVE && backlog.unconfirmedTasks() == 0 && backlog.isPlaced()) {
            resumeBatch("work that goes first is placed");
        }
    }

    private void resumeBatch(String reason) {
        enter(RecoveryPhase.RESUMING_BATCH, reason);
        if (awaited.isEmpty()) {
            enterRecovered();
        }
    }

    private void enterRecovered() {
        enter(RecoveryPhase.RECOVERED, "every machine taken over is heard or proved gone");
    }

    /** Reports the end of the term to the tracer. */
    public void end() {
        tracer.onTermEnded();
    }

    private void enter(RecoveryPhase next, String reason) {
        LOG.info("recovery under fencing token {}: {} -> {} ({})", fencingToken, phase, next, reason);
        phase = next;
        tracer.onPhaseEntered(next, reason);
    }

    /** Returns whether batch work is held back in favour of live work. */
    public boolean isBatchWorkHeld() {
        return phase.isBatchWorkHeld();
    }

    /** Returns what batch work waits for, as operators read it in {@code GET /recovery}. */
    public String awaitedLiveWork() {
        return isBatchWorkHeld() ? batchHold.awaitedLiveWork() : "nothing";
    }

    /**
     * Returns whether every machine taken over has sent a heartbeat or is proven to be gone. Never true if a part of
     * the inventory cannot be read.
     */
    public boolean isEveryMachineResolved() {
        return awaited.isEmpty();
    }

    /** Returns the fencing token of the term. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Returns the current phase of the recovery. */
    public RecoveryPhase phase() {
        return phase;
    }

    /** Returns the revision of the records that the recovery began with, or 0 while they are being read. */
    public long recordsRevision() {
        return revision;
    }

    /** Returns the number of machines in the inventory when the term began. */
    public int takenOverMachineCount() {
        return machinesTakenOver;
    }

    /** Returns the ids of the machines that are still awaited, as an immutable set. */
    public PSet<String> awaitedMachines() {
        return awaited.ids();
    }

    /** Returns the number of inventory parts that cannot be read. */
    public int unreadableInventoryParts() {
        return awaited.unreadableParts();
    }

    /** Returns the time at which the hold ends at the latest, or 0 before the records are read. */
    public long holdEndMicros() {
        return batchHold.endMicros();
    }

    /** Returns how many attempts have been compared with the records so far. */
    public long comparisonCount() {
        return counts.comparisonCount();
    }

    /** Returns how many tasks got each verdict so far, as a copy. */
    public Map<Verdict, Integer> taskCountsByVerdict() {
        return counts.taskCounts();
    }
}
