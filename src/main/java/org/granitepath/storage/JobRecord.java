package org.granitepath.storage;

/**
 * An accepted job. The record is written once, and the same write claims the job's first block of tasks for the leader
 * of the machines, if there is one.
 *
 * @param acceptedMicros the time of day of the acceptance, in microseconds
 * @param claimedTasks the number of tasks claimed for the leader; 0 if there is none
 * @param fencingToken the fencing token of the leader's term; 0 if there is no leader
 */
public record JobRecord(JobSpec spec, long acceptedMicros, int claimedTasks, long fencingToken)
        implements StoredRecord {}
