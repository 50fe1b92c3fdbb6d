package org.granitepath.recovery;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * The live work that is not resumed yet after a scheduling cycle. Live work consists of services and of jobs of the
 * highest priority. It is resumed before all other work.
 *
 * @param unconfirmedTasks the number of tasks that may be on machines still awaited
 * @param jobsAwaitingClaim the number of jobs that have tasks to start and wait until their next claim is recorded
 * @param unacknowledgedTasks the number of tasks that were placed and that no heartbeat has listed yet
 * @param tasksAwaitingPreemption the number of tasks without capacity for which other tasks are being preempted
 */
public record LiveWorkBacklog(
        int unconfirmedTasks, int jobsAwaitingClaim, int unacknowledgedTasks, int tasksAwaitingPreemption) {
    /** All live work is resumed. */
    public static final LiveWorkBacklog NONE = new LiveWorkBacklog(0, 0, 0, 0);

    /** Returns whether this job is live work. */
    public static boolean isLiveWork(JobSpec spec) {
        return spec.isService() || spec.priority() == Priority.CRITICAL;
    }

    /** Returns a summary that operators read in the log and in {@code GET /recovery}. */
    String summary() {
        return unconfirmedTasks + " tasks in doubt, "
                + jobsAwaitingClaim + " to be claimed, "
                + unacknowledgedTasks + " sent and not seen yet, "
                + tasksAwaitingPreemption + " getting room";
    }

    /**
     * Returns whether no live work is left that can be placed at once. Tasks that wait for a machine to boot are not
     * counted.
     */
    boolean isPlaced() {
        return jobsAwaitingClaim == 0 && unacknowledgedTasks == 0 && tasksAwaitingPreemption == 0;
    }
}
