package org.granitepath.coordination.ports;

/**
 * Identifies one task of a job.
 *
 * @param job the id of the job
 * @param index the index of the task in the job, from 0
 */
public record TaskId(String job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
