package org.granitepath.recovery;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/**
 * What is left to do about the work that goes first, in tasks, after a scheduling cycle.
 *
 * @param unconfirmed may be on machines still awaited
 * @param claiming wait for their claim to be on record
 * @param unacknowledged were placed, and no heartbeat has listed them yet
 * @param awaitingPreemption have no capacity yet, but tasks are being stopped for them
 */
public record LiveWorkBacklog(int unconfirmed, int claiming, int unacknowledged, int awaitingPreemption) {
    /** Nothing is left. */
    public static final LiveWorkBacklog NONE = new LiveWorkBacklog(0, 0, 0, 0);

    /** Whether a job's tasks resume before those of others: services, and work of the highest priority. */
    public static boolean includes(JobSpec spec) {
        return spec.service() || spec.priority() == Priority.CRITICAL;
    }

    /** Whether nothing is left that could be placed at once. What waits for a machine to boot is not counted. */
    boolean isPlaced() {
        return claiming == 0 && unacknowledged == 0 && awaitingPreemption == 0;
    }
}
