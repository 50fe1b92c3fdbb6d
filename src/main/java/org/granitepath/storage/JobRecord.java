package org.granitepath.storage;

/**
 * An accepted job: its description, the time of day when it was taken, and its first block of tasks, which this very
 * write claims for the leader of the machines, if there is one, by the fencing token of its term. Written once.
 */
public record JobRecord(JobSpec spec, long acceptedMicros, int claimedTasks, long term) implements StoredRecord {}
