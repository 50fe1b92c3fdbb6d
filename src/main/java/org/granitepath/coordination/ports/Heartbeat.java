package org.granitepath.coordination.ports;

import java.util.List;

/** A worker's heartbeat. {@code noticeMicros} is negative when the cloud has announced nothing. */
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

    /** What a task on a machine does. {@code WAITING}: a task of a gang waits for the others. */
    public enum TaskState {
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        EXITED
    }

    /**
     * Why a task has exited. {@code PEER_GONE}: another task of its gang is gone. {@code INCOMPLETE}: its gang was not
     * complete in time.
     */
    public enum ExitCause {
        NONE,
        DONE,
        STOPPED,
        FAILED,
        INSUFFICIENT_CAPACITY,
        BUSY,
        UNKNOWN_JOB,
        PEER_GONE,
        INCOMPLETE
    }

    /** One task on the machine; {@code saved} when its progress was kept. */
    public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause, boolean saved) {}

    /** Whether this heartbeat was made later than one with the given agent epoch and sequence. */
    public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
        return agentEpoch > otherAgentEpoch || (agentEpoch == otherAgentEpoch && sequence > otherSequence);
    }
}
