package org.granitepath.coordination.admission;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.granitepath.recovery.RecordedTaskState;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.Keys;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.UnknownRecord;
import org.jspecify.annotations.Nullable;

/**
 * Index of all jobs, built from their records in the store. Every controller keeps one and answers users' requests from
 * it.
 */
public final class JobIndex {
    /** Receives the changes of the records of jobs. */
    public interface Listener {
        /** Called when a job has been accepted. */
        void onJobAccepted(JobRecord job);

        /** Called when more tasks of a job have been claimed or have finished. */
        void onProgressRecorded(String id, ProgressRecord progress);

        /** Called when a job has ended. */
        void onJobEnded(String id, FinalRecord.Outcome outcome);
    }

    /** Ignores all changes; used while no listener is set. */
    private static final Listener NO_LISTENER = new Listener() {
        @Override
        public void onJobAccepted(JobRecord job) {}

        @Override
        public void onProgressRecorded(String id, ProgressRecord progress) {}

        @Override
        public void onJobEnded(String id, FinalRecord.Outcome outcome) {}
    };

    /** The part of a job that cannot be read. {@link #STATUS} includes {@link #PROGRESS}. */
    private enum Unreadable {
        /** The progress. Users receive answers from the other records, but no leader decides about the job. */
        PROGRESS,
        /** The description or the outcome. It is not known whether the job exists or has ended. */
        STATUS
    }

    private final Map<String, JobRecord> openJobs = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, ProgressRecord> progressByJob = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, FinalRecord.Outcome> outcomes = new Object2ObjectLinkedOpenHashMap<>();
    /** Jobs with at least one unreadable record, and the part of the job that is unknown for that reason. */
    private final Map<String, Unreadable> unreadableJobs = new HashMap<>();

    private Listener listener = NO_LISTENER;

    /** Sets the listener that receives all changes from now on, replacing any earlier one. */
    public void setListener(Listener next) {
        listener = next;
    }

    /** Removes the listener. */
    public void clearListener() {
        listener = NO_LISTENER;
    }

    /** Returns all accepted jobs that have not ended. */
    public Collection<JobRecord> openJobs() {
        return openJobs.values();
    }

    /** Returns the accepted job with this id, or null if there is none or it has ended. */
    public @Nullable JobRecord openJob(String id) {
        return openJobs.get(id);
    }

    /** Returns how the job ended, or null if it has not ended as far as this controller knows. */
    public FinalRecord.@Nullable Outcome outcomeOf(String id) {
        return outcomes.get(id);
    }

    /** Returns whether the job is done or cancelled, as far as this controller knows. */
    public boolean hasEnded(String id) {
        return outcomes.containsKey(id);
    }

    /** Returns whether the job was ever accepted, as far as this controller knows. */
    boolean isKnown(String id) {
        return openJobs.containsKey(id) || hasEnded(id);
    }

    /** Returns the progress of the job, which is {@link ProgressRecord#empty()} if no progress record is known. */
    public ProgressRecord progressOf(String id) {
        return progressByJob.getOrDefault(id, ProgressRecord.empty());
    }

    /** Returns whether any record of the job cannot be read. */
    public boolean isUnreadable(String id) {
        return unreadableJobs.containsKey(id);
    }

    /** Returns whether the status of the job is unknown because its description or its outcome cannot be read. */
    boolean isStatusUnknown(String id) {
        return unreadableJobs.get(id) == Unreadable.STATUS && !hasEnded(id);
    }

    /**
     * Returns what the records say about the tasks of a job. To be called only if no leader on this controller has the
     * job open.
     */
    public RecordedTaskState recordedTaskState(String id) {
        FinalRecord.Outcome outcome = outcomes.get(id);
        if (outcome != null) {
            return outcome == FinalRecord.Outcome.DONE ? RecordedTaskState.JOB_DONE : RecordedTaskState.JOB_CANCELLED;
        }
        return isUnreadable(id) || openJobs.containsKey(id)
                ? RecordedTaskState.UNREADABLE
                : RecordedTaskState.UNKNOWN_JOB;
    }

    /**
     * Applies the change of a record; a record that belongs to no job is ignored. Records of jobs are never removed.
     */
    public void applyRecord(String key, @Nullable StoredRecord record) {
        Keys.parseJobKey(key).ifPresent(jobKey -> applyRecord(jobKey, record));
    }

    private void applyRecord(Keys.JobKey key, @Nullable StoredRecord record) {
        if (record instanceof JobRecord job) {
            applyJob(key.jobId(), job);
        } else if (record instanceof ProgressRecord progress) {
            applyProgress(key.jobId(), progress);
        } else if (record instanceof FinalRecord finalRecord) {
            applyOutcome(key.jobId(), finalRecord.outcome());
        } else if (record instanceof UnknownRecord) {
            applyUnreadable(key);
        }
    }

    private void applyUnreadable(Keys.JobKey key) {
        markUnreadable(
                key.jobId(), key.kind() == Keys.JobRecordKind.PROGRESS ? Unreadable.PROGRESS : Unreadable.STATUS);
    }

    private void markUnreadable(String id, Unreadable part) {
        unreadableJobs.merge(id, part, (known, added) -> known == Unreadable.STATUS ? known : added);
    }

    private void applyJob(String id, JobRecord record) {
        if (isKnown(id)) {
            return;
        }
        openJobs.put(id, record);
        listener.onJobAccepted(record);
    }

    private void applyProgress(String id, ProgressRecord record) {
        if (hasEnded(id)) {
            return;
        }
        progressByJob.put(id, record);
        listener.onProgressRecorded(id, record);
    }

    private void applyOutcome(String id, FinalRecord.Outcome outcome) {
        outcomes.put(id, outcome);
        openJobs.remove(id);
        progressByJob.remove(id);
        listener.onJobEnded(id, outcome);
    }
}
