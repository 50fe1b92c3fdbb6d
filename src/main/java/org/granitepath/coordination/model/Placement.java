package org.granitepath.coordination.model;

import org.granitepath.coordination.ports.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt of a task on a machine, from the decision to start it until it is proven to be gone from the machine. The
 * state changes only through the methods of this class.
 */
public final class Placement {
    private static final Logger LOG = LoggerFactory.getLogger(Placement.class);
    private static final long NEVER = -1;

    /**
     * The life cycle of a placement. {@code ASSIGNED}: decided, but not sent. {@code SENT}: a start is in transit or
     * was answered. {@code FETCHING}: the task waits for its image. {@code WAITING}: a task of a gang waits for the
     * others. {@code STOPPING}: the task is to end. {@code FREED}: the attempt is proven not to be on the machine.
     */
    public enum Phase {
        ASSIGNED,
        SENT,
        FETCHING,
        WAITING,
        RUNNING,
        STOPPING,
        FREED;

        /** Returns whether a placement may move to the given phase. Heartbeats may skip phases that they never show. */
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

    /** Creates an attempt that this leader has decided on, for the current agent epoch of the machine's worker. */
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
            boolean adopted) {
        this.task = task;
        this.job = job;
        this.machine = machine;
        this.attempt = attempt;
        this.agentEpoch = machine.contact().agentEpoch();
        this.placedMicros = nowMicros;
        this.delivery = delivery;
        this.adopted = adopted;
    }

    /**
     * Returns the placement of an attempt that a previous leader started and that was found on the machine.
     *
     * @param onlyOnThisMachine whether it was listed under the current fencing token, which rules out other machines
     */
    public static Placement adopted(
            TaskId task, ActiveJob job, Machine machine, long attempt, boolean onlyOnThisMachine, long nowMicros) {
        Placement placement =
                new Placement(task, job, machine, attempt, nowMicros, StartDelivery.adopted(onlyOnThisMachine), true);
        placement.transition(Phase.SENT, "adopted from the previous leader");
        return placement;
    }

    /** Returns the task. */
    public TaskId task() {
        return task;
    }

    /** Returns the job that the task belongs to. */
    public ActiveJob job() {
        return job;
    }

    /** Returns the machine on which the task is placed. */
    public Machine machine() {
        return machine;
    }

    /** Returns the number of the attempt. Numbers are never reused. */
    public long attempt() {
        return attempt;
    }

    /**
     * Returns the worker's agent epoch for which the start is meant. A later epoch proves that this attempt is gone.
     */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** Returns the time at which the attempt was decided on or found. */
    public long placedMicros() {
        return placedMicros;
    }

    /** Returns the phase of the attempt's life cycle. */
    public Phase phase() {
        return phase;
    }

    /** Returns whether the attempt may be on the machine. */
    public boolean isActive() {
        return phase != Phase.FREED;
    }

    private void transition(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.canTransitionTo(next)) {
            throw new IllegalStateException(
                    "task " + task + " attempt " + attempt + " cannot move from " + phase + " to " + next);
        }
        LOG.debug("task {} attempt {} on machine {}: {} -> {} ({})", task, attempt, machine.id(), phase, next, why);
        phase = next;
    }

    /** Notes that the start is sent in a heartbeat response. Only a later heartbeat shows whether it arrived. */
    public void markSentInResponse() {
        delivery.markSentInResponse();
        transition(Phase.SENT, "sent in a heartbeat response");
    }

    /** Notes that the start is sent in a direct call under the machine's current fencing token. */
    public void markSentDirectly() {
        delivery.markSentDirectly(machine.fencingToken());
        transition(Phase.SENT, "sent in a direct call");
    }

    /**
     * Notes that the machine's worker has restarted: the attempt is gone, but a late copy of its start may be carried
     * out once more until the worker has a higher fencing token.
     */
    public void markRepeatable() {
        if (phase != Phase.ASSIGNED) {
            delivery.markRepeatable(machine.fencingToken());
        }
    }

    /** Notes that the direct call under the given fencing token was answered. */
    public void acknowledgeDirectStart(long token) {
        delivery.acknowledge(token);
    }

    /** Returns whether the latest start was sent in a heartbeat response rather than in a direct call. */
    public boolean isSentInResponse() {
        return delivery.isSentInResponse();
    }

    /**
     * Returns whether a direct start under the given fencing token or a later one has not been answered, or whether the
     * worker has restarted since. The worker may still carry it out.
     */
    public boolean hasUnacknowledgedStart(long token) {
        return delivery.hasUnacknowledgedStart(token);
    }

    /** Notes that a message of the worker lists the attempt. */
    public void markListed(boolean underCurrentToken) {
        delivery.markListed(underCurrentToken);
    }

    /** Returns whether a message of the worker has listed the attempt. */
    public boolean hasBeenListed() {
        return delivery.hasBeenListed();
    }

    /**
     * Returns whether the task can be on no other machine: this leader started the attempt, or a message under the
     * current fencing token listed it.
     */
    public boolean isOnlyOnThisMachine() {
        return delivery.isOnlyOnThisMachine();
    }

    /** Returns whether a previous leader started the attempt. Its start time is unknown in that case. */
    public boolean isAdopted() {
        return adopted;
    }

    /** Notes that a heartbeat lists the task as fetching its image. */
    public void markFetching() {
        if (phase == Phase.ASSIGNED || phase == Phase.SENT) {
            transition(Phase.FETCHING, "listed in a heartbeat");
        }
    }

    /** Notes that a heartbeat lists the task as waiting for the others of its gang. */
    public void markWaiting() {
        if (phase != Phase.STOPPING) {
            transition(Phase.WAITING, "listed in a heartbeat");
        }
    }

    /**
     * Notes that a heartbeat lists the task as running. The first such heartbeat sets the latest possible start time.
     */
    public void markRunning(long nowMicros) {
        if (!hasRun()) {
            runningSinceMicros = nowMicros;
        }
        if (phase != Phase.STOPPING) {
            transition(Phase.RUNNING, "listed in a heartbeat");
        }
    }

    /** Notes that a heartbeat lists the task as saving its progress, which means that it was told to stop. */
    public void markSaving() {
        transition(Phase.STOPPING, "saving its progress");
    }

    /** Returns whether the task was ever seen running. */
    public boolean hasRun() {
        return runningSinceMicros != NEVER;
    }

    /** Returns the time at which the task was first seen running, or a negative value if it was not. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    /** Returns how long the task has been seen running, or 0 if it was not. */
    public long runTimeMicros(long nowMicros) {
        return hasRun() ? nowMicros - runningSinceMicros : 0;
    }

    /** Marks the attempt as stopping. The task gets the given time to save its progress. */
    public void stop(long maxGraceMicros, String why) {
        graceMicros = maxGraceMicros;
        transition(Phase.STOPPING, why);
    }

    /** Shortens the grace period of a stop, because the job was cancelled after the task had been told to save. */
    public void shortenGrace(long maxGraceMicros) {
        graceMicros = maxGraceMicros;
    }

    /** Returns how long the task may take to save its progress when it is stopped. */
    public long graceMicros() {
        return graceMicros;
    }

    /** Marks the attempt as proven not to be on the machine. */
    public void free(String why) {
        transition(Phase.FREED, why);
    }
}
