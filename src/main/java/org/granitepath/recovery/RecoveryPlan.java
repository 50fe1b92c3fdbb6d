package org.granitepath.recovery;

import java.util.Map;
import org.granitepath.storage.JobSpec;
import org.pcollections.PSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The recovery of one term of leadership: how far it has come, and so which work may start. Live work starts by the
 * proof of each task; batch work, which is all other, is held until live work is placed, but never beyond a bound.
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

    /** @param batchHoldMicros how long batch work is held for live work, at most; 0: not at all */
    public RecoveryPlan(long fencingToken, long batchHoldMicros, RecoveryTracer tracer) {
        this.fencingToken = fencingToken;
        this.batchHold = new BatchHold(batchHoldMicros);
        this.tracer = tracer;
        tracer.onTermBegan(fencingToken);
        tracer.onPhaseEntered(phase, "term won");
    }

    /** Takes a machine of the inventory over, before the records count as read. */
    public void takeOverMachine(String machine, MachineProfile profile) {
        awaited.add(machine, profile);
        machinesTakenOver++;
        tracer.onMachineAwaited(machine);
    }

    /** Parts of the inventory that can't be read: no task is proved lost as long as this term lasts. */
    public void takeOverUnreadableParts(int parts) {
        awaited.addUnreadableParts(parts);
    }

    /** The records are read, as of this revision: from now on heartbeats are taken. */
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

    /** A machine taken over has sent a heartbeat or is proved gone; true when that may tell of unconfirmed tasks. */
    public boolean resolveMachine(String machine, MachineProfile profile, String proof) {
        boolean lastOfItsProfile = awaited.remove(machine, profile);
        tracer.onMachineResolved(machine, proof);
        if (awaited.isEmpty() && phase == RecoveryPhase.RESUMING_BATCH) {
            recovered();
        }
        return lastOfItsProfile;
    }

    /** The verdict on a claimed task that no heartbeat has listed so far. */
    public Verdict verdictOnUnlistedTask(JobSpec spec) {
        return VerdictTable.forUnlistedTask(awaited.mayHold(spec));
    }

    /** Counts a verdict on one task. */
    public void countVerdicts(Verdict verdict, int tasks) {
        counts.add(verdict, tasks);
    }

    /** Counts the comparisons of an attempt with the records. */
    public void countComparisons(int attempts) {
        counts.addComparisons(attempts);
    }

    /** Whether tasks of this job may start, as far as the recovery is concerned. */
    public boolean canStart(JobSpec spec) {
        return phase.canStartBatchWork() || (phase != RecoveryPhase.READING && LiveWorkBacklog.isLiveWork(spec));
    }

    /** Ends the hold when its time is over. Called before each scheduling cycle, so that it sets no timer. */
    public void endHoldIfDue(long nowMicros) {
        if (isBatchWorkHeld() && batchHold.isDue(nowMicros)) {
            resumeBatch(batchHold.reasonToEnd());
        }
    }

    /** A scheduling cycle has ended and left this of the live work. */
    public void onCycleEnded(LiveWorkBacklog backlog) {
        batchHold.waitsFor(backlog);
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
            recovered();
        }
    }

    private void recovered() {
        enter(RecoveryPhase.RECOVERED, "every machine taken over is heard or proved gone");
    }

    /** The term is over. */
    public void end() {
        tracer.onTermEnded();
    }

    private void enter(RecoveryPhase next, String reason) {
        LOG.info("recovery under fencing token {}: {} -> {} ({})", fencingToken, phase, next, reason);
        phase = next;
        tracer.onPhaseEntered(next, reason);
    }

    /** Whether batch work is held for live work. */
    public boolean isBatchWorkHeld() {
        return phase.isHoldingBatchWork();
    }

    /** What batch work waits for, in words that operators read in {@code GET /recovery}. */
    public String awaitedLiveWork() {
        return isBatchWorkHeld() ? batchHold.waitingFor() : "nothing";
    }

    /** Whether every machine taken over has sent a heartbeat or is proved gone. */
    public boolean isEveryMachineResolved() {
        return awaited.isEmpty();
    }

    /** The fencing token of the term. */
    public long fencingToken() {
        return fencingToken;
    }

    /** How far the recovery has come. */
    public RecoveryPhase phase() {
        return phase;
    }

    /** The revision of the records that the recovery began with. */
    public long recordsRevision() {
        return revision;
    }

    /** How many machines the inventory had when the term began. */
    public int takenOverMachineCount() {
        return machinesTakenOver;
    }

    /** The machines still awaited, as of now. */
    public PSet<String> awaitedMachines() {
        return awaited.names();
    }

    /** How many parts of the inventory can't be read. */
    public int unreadableInventoryParts() {
        return awaited.unreadableParts();
    }

    /** When the hold ends at the latest. */
    public long holdEndMicros() {
        return batchHold.endsMicros();
    }

    /** How many attempts were compared with the records so far. */
    public long comparisonCount() {
        return counts.comparisons();
    }

    /** How many tasks got each verdict so far. */
    public Map<Verdict, Integer> taskCountsByVerdict() {
        return counts.tasks();
    }
}
