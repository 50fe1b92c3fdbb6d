package org.granitepath.storage;

import java.util.Optional;

/** Keys of the records in the store. The keys are fixed, because running controllers of other versions use them. */
public final class Keys {
    /** Prefix of all records of the controllers. */
    public static final String ROOT_PREFIX = "g/";
    /** Prefix of the records of accepted jobs, followed by the job's id. */
    public static final String JOB_PREFIX = "g/j/";
    /** Prefix of the records of the progress of jobs, followed by the job's id. */
    public static final String PROGRESS_PREFIX = "g/p/";
    /** Prefix of the records of how jobs ended, followed by the job's id. */
    public static final String FINAL_PREFIX = "g/f/";
    /** Prefix of the parts of the machine inventory, followed by the number of the part, from 0. */
    public static final String INVENTORY_PREFIX = "g/roster/";
    /** The key of the leader's record. */
    public static final String LEADER = "g/leader";
    /** The key of the shared counter of fencing tokens. */
    public static final String FENCING_TOKEN = "g/baton";
    /** The key of the machine types that the cloud launches. */
    public static final String MACHINE_TYPES = "g/types";

    /** The kinds of records that the store holds for a job. */
    public enum JobRecordKind {
        /** The job's description: a {@link JobRecord}. */
        JOB(Keys.JOB_PREFIX),
        /** The job's progress: a {@link ProgressRecord}. */
        PROGRESS(Keys.PROGRESS_PREFIX),
        /** The job's outcome: a {@link FinalRecord}. */
        FINAL(Keys.FINAL_PREFIX);

        private final String prefix;

        JobRecordKind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** The parsed key of a job's record: its kind and the id of the job. */
    public record JobKey(JobRecordKind kind, String jobId) {}

    private Keys() {}

    /** Parses the key of a job's record; returns empty for a key of any other record. */
    public static Optional<JobKey> parseJobKey(String key) {
        for (JobRecordKind kind : JobRecordKind.values()) {
            if (key.startsWith(kind.prefix)) {
                return Optional.of(new JobKey(kind, key.substring(kind.prefix.length())));
            }
        }
        return Optional.empty();
    }

    /** Returns the key of the record of an accepted job. */
    public static String jobKey(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /** Returns the key of the record of a job's progress. */
    public static String progressKey(String jobId) {
        return PROGRESS_PREFIX + jobId;
    }

    /** Returns the key of the record of how a job ended. */
    public static String finalRecordKey(String jobId) {
        return FINAL_PREFIX + jobId;
    }

    /** Returns the key of a part of the machine inventory. Parts are numbered from 0. */
    public static String inventoryPartKey(int part) {
        return INVENTORY_PREFIX + part;
    }
}
