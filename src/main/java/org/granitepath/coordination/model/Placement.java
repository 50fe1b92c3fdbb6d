package org.granitepath.coordination.model;

import org.granitepath.coordination.ports.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt of a task on a machine, from the decision until there is proof that it is not there. State changes
 * through the named methods alone.
 */
public final class Placement {
    private static final Logger LOG = LoggerFactory.getLogger(Placement.class);
    private static final long NEVER = -1;

    /**
     * {@code ASSIGNED}: decided, not sent. {@code SENT}: a start is under way or was answered. {@code WAITING}: a task
     * of a gang waits for the others.
     */
    public enum Phase {
        ASSIGNED,
        SENT,
        FETCHING,
        WAITING,
        RUNNING,
        STOPPING,
        FREED;

        /** Whether a placement may go from this phase to the next one; heartbeats may skip what they did not show. */
        boolean canTransitionTo(Phase next) {
            return switch (this) {
                case ASSIGNED -> next != ASSIGNED;
                case SENT, FETCHING, WAITING, RUNNING -> next != ASSIGNED && next != SENT;
                case STOPPING -> next == FREED;
                case FREED -> false;
            };
        }
    }

    private final TaskId task;
    private final ActiveJob job;
    private final Machine machine;
    private final long attempt;
    private final long agentEpoch;
    private final long placedMicros;
    private final StartDelivery delivery;
    private final boolean adopted;
    private Phase phase = Phase.ASSIGNED;
    private long runningSinceMicros = NEVER;
    private long graceMicros;

    /** An attempt that this leader has decided on, for the worker's present agent epoch. */
    public Placement(TaskId task, ActiveJob job, Machine machine, long attempt, long nowMicros) {
        this(task, job, machine, attempt, nowMicros, StartDelivery.notSent(), false);
    }

    private Placement(
            TaskId task,
            ActiveJob job,
            Machine machine,
            long attempt,
            long nowMicros,
            StartDelivery delivery,
            boolean wasAdopted) {
        this.task = task;
        this.job = job;
        this.machine = machine;
        this.attempt = attempt;
        this.agentEpoch = machine.contact().agentEpoch();
        this.placedMicros = nowMicros;
        this.delivery = delivery;
        this.adopted = wasAdopted;
    }

    /**
     * An attempt of a former leader that was found on the machine.
     *
     * @param onlyHere whether it was listed under the present fencing token, so that it can be nowhere else
     */
    public static Placement adopted(
            TaskId task, ActiveJob job, Machine machine, long attempt, boolean onlyHere, long nowMicros) {
        Placement placement =
                new Placement(task, job, machine, attempt, nowMicros, StartDelivery.adopted(onlyHere), true);
        placement.transition(Phase.SENT, "taken over");
        return placement;
    }

    /** The task. */
    public TaskId task() {
        return task;
    }

    /** The job that the task belongs to. */
    public ActiveJob job() {
        return job;
    }

    /** Where it is placed. */
    public Machine machine() {
        return machine;
    }

    /** The number of the attempt, which is never used twice. */
    public long attempt() {
        return attempt;
    }

    /** The worker's agent epoch that the start is meant for; a later agent epoch proves this attempt gone. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** When it was decided on, or found. */
    public long placedMicros() {
        return placedMicros;
    }

    /** How far it has come. */
    public Phase phase() {
        return phase;
    }

    /** Whether it may be on the machine. */
    public boolean isActive() {
        return phase != Phase.FREED;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException(
                    "task " + task + " attempt " + attempt + " can't go from " + phase + " to " + next);
        }
        LOG.debug("task {} attempt {} on machine {}: {} -> {} ({})", task, attempt, machine.id(), phase, next, why);
        phase = next;
    }

    // ---- starting ----------------------------------------------------------------------------------------------

    /** The start goes out in the answer to a heartbeat: only a later heartbeat tells whether it was taken. */
    public void markSentInResponse() {
        delivery.markSentInResponse();
        transition(Phase.SENT, "in an answer");
    }

    /** The start goes out in a direct call under the machine's present fencing token. */
    public void markSentDirectly() {
        delivery.markSentDirectly(machine.fencingToken());
        transition(Phase.SENT, "direct");
    }

    /** The direct call under this fencing token was answered. */
    public void acknowledgeDirectStart(long token) {
        delivery.acknowledge(token);
    }

    /** Whether the start went out in the answer to a heartbeat and not in a direct call. */
    public boolean isSentInResponse() {
        return delivery.isSentInResponse();
    }

    /** Whether a direct start under this fencing token or a later one has no answer yet: it may be carried out late. */
    public boolean hasUnacknowledgedStart(long token) {
        return delivery.hasUnacknowledgedStart(token);
    }

    // ---- what heartbeats list ----------------------------------------------------------------------------------

    /** A message of the worker lists it. */
    public void markListed(boolean underPresentToken) {
        delivery.markListed(underPresentToken);
    }

    /** Whether a message of the worker has listed it. */
    public boolean hasBeenListed() {
        return delivery.hasBeenListed();
    }

    /** Whether it is ours, or was listed under the present fencing token: then the task can be nowhere else. */
    public boolean isOnlyOnThisMachine() {
        return delivery.isOnlyOnThisMachine();
    }

    /** Whether it was found on the machine: then it is not known when it began. */
    public boolean isAdopted() {
        return adopted;
    }

    /** A heartbeat lists it as waiting for its image. */
    public void markFetching() {
        if (phase == Phase.ASSIGNED || phase == Phase.SENT) {
            transition(Phase.FETCHING, "listed in a heartbeat");
        }
    }

    /** A heartbeat lists it as waiting for the others of its gang. */
    public void markWaiting() {
        if (phase != Phase.STOPPING) {
            transition(Phase.WAITING, "listed in a heartbeat");
        }
    }

    /** A heartbeat lists it as running; the first one that does tells since when, at the latest. */
    public void markRunning(long nowMicros) {
        if (!hasRun()) {
            runningSinceMicros = nowMicros;
        }
        if (phase != Phase.STOPPING) {
            transition(Phase.RUNNING, "listed in a heartbeat");
        }
    }

    /** A heartbeat lists it as saving, so it was told to stop. */
    public void markSaving() {
        transition(Phase.STOPPING, "saving");
    }

    /** Whether it was ever seen to run. */
    public boolean hasRun() {
        return runningSinceMicros != NEVER;
    }

    /** When it was first seen to run; negative: it was not. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    /** For how long it has been seen to run; 0 when it was not. */
    public long runTimeMicros(long nowMicros) {
        return hasRun() ? nowMicros - runningSinceMicros : 0;
    }

    // ---- stopping ----------------------------------------------------------------------------------------------

    /** The machine is to be told to end it. */
    public void stop(long longestGraceMicros, String why) {
        graceMicros = longestGraceMicros;
        transition(Phase.STOPPING, why);
    }

    /** Told to save before, and cancelled meanwhile: it need not, and must not go on. */
    public void shortenGrace(long longestGraceMicros) {
        graceMicros = longestGraceMicros;
    }

    /** How long it may take to save itself when it is stopped. */
    public long graceMicros() {
        return graceMicros;
    }

    /** There is proof that it is not on the machine. */
    public void free(String why) {
        transition(Phase.FREED, why);
    }
}
