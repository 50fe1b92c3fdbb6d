package org.granitepath.recovery;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * What is left to do about live work after a scheduling cycle. Live work resumes before all other: services, and jobs
 * of the highest priority.
 *
 * @param unconfirmedTasks may be on machines still awaited
 * @param jobsAwaitingClaim have tasks to start, and wait for their next claim to be on record
 * @param unacknowledgedTasks were placed, and no heartbeat has listed them yet
 * @param tasksAwaitingPreemption have no capacity yet, but other tasks are being preempted for them
 */
public record LiveWorkBacklog(
        int unconfirmedTasks, int jobsAwaitingClaim, int unacknowledgedTasks, int tasksAwaitingPreemption) {
    /** Nothing is left. */
    public static final LiveWorkBacklog NONE = new LiveWorkBacklog(0, 0, 0, 0);

    /** Whether this job is live work. */
    public static boolean isLiveWork(JobSpec spec) {
        return spec.service() || spec.priority() == Priority.CRITICAL;
    }

    /** What is left, in words that operators read in the log and in {@code GET /recovery}. */
    String summary() {
        return unconfirmedTasks + " tasks in doubt, "
                + jobsAwaitingClaim + " to be claimed, "
                + unacknowledgedTasks + " sent and not seen yet, "
                + tasksAwaitingPreemption + " getting room";
    }

    /** Whether nothing is left that could be placed at once. What waits for a machine to boot is not counted. */
    boolean isPlaced() {
        return jobsAwaitingClaim == 0 && unacknowledgedTasks == 0 && tasksAwaitingPreemption == 0;
    }
}
