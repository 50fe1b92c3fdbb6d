package org.granitepath.storage;

import java.util.Optional;

/** Keys of the records in the store. They are fixed: running controllers of other versions use them. */
public final class Keys {
    /** Prefix of all our records. */
    public static final String ROOT_PREFIX = "g/";
    /** Prefix of the records of accepted jobs; the job's id follows. */
    public static final String JOB_PREFIX = "g/j/";
    /** Prefix of the records of the progress of jobs; the job's id follows. */
    public static final String PROGRESS_PREFIX = "g/p/";
    /** Prefix of the records of how jobs ended; the job's id follows. */
    public static final String FINAL_PREFIX = "g/f/";
    /** Prefix of the parts of the machine inventory; the number of the part follows, from 0. */
    public static final String INVENTORY_PREFIX = "g/roster/";
    /** The leader. */
    public static final String LEADER = "g/leader";
    /** The shared counter of fencing tokens. */
    public static final String FENCING_TOKEN = "g/baton";
    /** The machine types that the cloud launches. */
    public static final String MACHINE_TYPES = "g/types";

    /** The records that are kept of a job. */
    public enum JobRecordKind {
        /** Its description: a {@link JobRecord}. */
        JOB(Keys.JOB_PREFIX),
        /** How far it has come: a {@link ProgressRecord}. */
        PROGRESS(Keys.PROGRESS_PREFIX),
        /** How it ended: a {@link FinalRecord}. */
        FINAL(Keys.FINAL_PREFIX);

        private final String prefix;

        JobRecordKind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** What a key says of a job's record: which one it is, and of which job. */
    public record JobKey(JobRecordKind kind, String jobId) {}

    private Keys() {}

    /** Takes the key of a job's record apart; empty for a key of another kind. */
    public static Optional<JobKey> parseJobKey(String key) {
        for (JobRecordKind kind : JobRecordKind.values()) {
            if (key.startsWith(kind.prefix)) {
                return Optional.of(new JobKey(kind, key.substring(kind.prefix.length())));
            }
        }
        return Optional.empty();
    }

    /** The key of an accepted job. */
    public static String job(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /** The key of the progress of a job. */
    public static String progress(String jobId) {
        return PROGRESS_PREFIX + jobId;
    }

    /** The key of how a job ended. */
    public static String finalRecord(String jobId) {
        return FINAL_PREFIX + jobId;
    }

    /** The key of a part of the machine inventory. */
    public static String inventoryPart(int part) {
        return INVENTORY_PREFIX + part;
    }
}
