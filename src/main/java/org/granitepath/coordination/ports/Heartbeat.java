package org.granitepath.coordination.ports;

import java.util.List;

/**
 * A worker's heartbeat: the state of one machine and of the tasks on it.
 *
 * @param machineId the id that the cloud gave to the machine
 * @param address the address at which the worker accepts direct calls
 * @param type the name of the machine type
 * @param spot whether the machine is a spot instance
 * @param agentEpoch increased by the worker whenever it has ended all its tasks, for example because its lease expired
 * @param sequence increased by the worker with each heartbeat
 * @param fencingToken the highest fencing token that the worker has accepted
 * @param terminationNoticeMicros the time until the cloud takes the machine back, in microseconds; negative while the
 *     cloud has not announced that it will
 * @param tasks the tasks on the machine, including those that have exited and were not cleared yet
 */
public record Heartbeat(
        String machineId,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        long sequence,
        long fencingToken,
        long terminationNoticeMicros,
        List<TaskStatus> tasks) {

    /** The state of a task on a machine. */
    public enum TaskState {
        /** The worker fetches the task's image. */
        FETCHING,
        /** A task of a gang waits for the other tasks of the gang. */
        WAITING,
        RUNNING,
        /** The task saves its progress before it stops. */
        SAVING,
        EXITED
    }

    /** The reason why a task has exited. */
    public enum ExitCause {
        /** The worker reports no reason. */
        NONE,
        /** The task has completed. */
        DONE,
        /** The task was stopped before it completed. */
        STOPPED,
        /** The task has failed. */
        FAILED,
        /** The worker refused the start because the machine has too little free capacity. */
        INSUFFICIENT_CAPACITY,
        /** The worker refused the start because another attempt of the same task is still on the machine. */
        BUSY,
        /** The worker refused the start because it found no such task: the job is unknown or has fewer tasks. */
        UNKNOWN_JOB,
        /** Another task of the gang is gone. */
        PEER_GONE,
        /** The gang was not complete in time. */
        INCOMPLETE
    }

    /**
     * One task on the machine.
     *
     * @param cause the reason for the exit; {@link ExitCause#NONE} while the task has not exited
     * @param saved whether the progress of the task was saved
     */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause, boolean saved) {}

    /** Returns whether this heartbeat was created after one with the given agent epoch and sequence number. */
    public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
        return agentEpoch > otherAgentEpoch || (agentEpoch == otherAgentEpoch && sequence > otherSequence);
    }
}
