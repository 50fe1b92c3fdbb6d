package org.granitepath.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One attempt of a task on a machine, from the decision until there is proof that it is not there. */
final class Placement {
    private static final Logger LOG = LoggerFactory.getLogger(Placement.class);

    /**
     * {@code ASSIGNED}: decided, not sent. {@code SENT}: a start is under way or was answered. {@code WAITING}: a task
     * of a gang waits for the others.
     */
    enum Phase {
        ASSIGNED,
        SENT,
        FETCHING,
        WAITING,
        RUNNING,
        STOPPING,
        FREED
    }

    final TaskId task;
    final ActiveJob job;
    final Machine machine;
    final long attempt;
    /** The worker's session that the start is meant for; a later session proves this attempt gone. */
    final long session;

    final long placedMicros;
    Phase phase = Phase.ASSIGNED;
    /** A direct start without an answer yet, and the fencing token it carries: it may be carried out late. */
    long unansweredToken;
    /** Went out in the answer to a report: only a later report, not a direct answer, tells whether it was taken. */
    boolean sentInAnswer;

    boolean seen;
    /** Ours, or listed by a report under the present fencing token: then the task can be nowhere else. */
    boolean certain = true;
    /** Found on the machine: when it began is not known. */
    boolean takenOver;

    long runningSinceMicros = -1;
    long graceMicros;

    Placement(TaskId task, ActiveJob job, Machine machine, long attempt, long session, long nowMicros) {
        this.task = task;
        this.job = job;
        this.machine = machine;
        this.attempt = attempt;
        this.session = session;
        this.placedMicros = nowMicros;
    }

    void transition(Phase next, String why) {
        if (phase != next) {
            LOG.debug("task {} attempt {} on {}: {} -> {} ({})", task, attempt, machine.id, phase, next, why);
            phase = next;
        }
    }

    boolean live() {
        return phase != Phase.FREED;
    }
}
