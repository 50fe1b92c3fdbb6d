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

/** All jobs as the store has them; every controller keeps this and answers users from it. */
public final class JobIndex {
    /** Told when the records of a job change. */
    public interface Listener {
        /** A job was accepted. */
        void onJobAccepted(JobRecord job);

        /** More of a job is claimed or done. */
        void onProgressRecorded(String id, ProgressRecord progress);

        /** A job is over. */
        void onJobEnded(String id, FinalRecord.Outcome outcome);
    }

    /** Stands for a listener while there is none. */
    private static final Listener NOBODY = new Listener() {
        @Override
        public void onJobAccepted(JobRecord job) {}

        @Override
        public void onProgressRecorded(String id, ProgressRecord progress) {}

        @Override
        public void onJobEnded(String id, FinalRecord.Outcome outcome) {}
    };

    /** What can't be read of a job; each value includes those before it. */
    private enum Unreadable {
        /** How far it has come: users are told what else is known, but no leader decides about the job. */
        PROGRESS,
        /** Its description or its end: not even whether it exists or is over can be told. */
        STATUS
    }

    private final Map<String, JobRecord> openJobs = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, ProgressRecord> progressByJob = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, FinalRecord.Outcome> outcomes = new Object2ObjectLinkedOpenHashMap<>();
    /** Jobs of which some record can't be read, and what is not known of them for that reason. */
    private final Map<String, Unreadable> unreadableJobs = new HashMap<>();

    private Listener listener = NOBODY;

    /** Tells this one from now on, and no other. */
    public void setListener(Listener next) {
        listener = next;
    }

    /** Tells nobody from now on. */
    public void clearListener() {
        listener = NOBODY;
    }

    /** All accepted jobs that are not over. */
    public Collection<JobRecord> openJobs() {
        return openJobs.values();
    }

    /** The accepted job of this name if it is not over, or null. */
    public @Nullable JobRecord openJob(String id) {
        return openJobs.get(id);
    }

    /** How the job ended, or null if it has not. */
    public FinalRecord.@Nullable Outcome outcomeOf(String id) {
        return outcomes.get(id);
    }

    /** Whether the job is done or cancelled, as far as this controller knows. */
    public boolean hasEnded(String id) {
        return outcomes.containsKey(id);
    }

    /** Whether the job was ever accepted, as far as this controller knows. */
    boolean isKnown(String id) {
        return openJobs.containsKey(id) || hasEnded(id);
    }

    /** How far the job has come; nothing done and nothing claimed when no record tells. */
    public ProgressRecord progressOf(String id) {
        return progressByJob.getOrDefault(id, ProgressRecord.empty());
    }

    /** Whether a record of the job can't be read. */
    public boolean isUnreadable(String id) {
        return unreadableJobs.containsKey(id);
    }

    /** Whether users can't be told of the job, since its description or its end can't be read. */
    boolean isStatusUnknown(String id) {
        return unreadableJobs.get(id) == Unreadable.STATUS && !hasEnded(id);
    }

    /** What the records say of a task of a job that no leader here has open. */
    public RecordedTaskState recordedTaskState(String id) {
        FinalRecord.Outcome outcome = outcomes.get(id);
        if (outcome != null) {
            return outcome == FinalRecord.Outcome.DONE ? RecordedTaskState.JOB_DONE : RecordedTaskState.JOB_CANCELLED;
        }
        return isUnreadable(id) || openJobs.containsKey(id)
                ? RecordedTaskState.UNREADABLE
                : RecordedTaskState.UNKNOWN_JOB;
    }

    /** Takes a changed record in. Removals don't occur among jobs. */
    public void applyRecord(String key, @Nullable StoredRecord record) {
        Keys.parseJobKey(key).ifPresent(jobKey -> applyRecord(jobKey, record));
    }

    private void applyRecord(Keys.JobKey key, @Nullable StoredRecord record) {
        if (record instanceof JobRecord job) {
            jobChanged(key.jobId(), job);
        } else if (record instanceof ProgressRecord jobProgress) {
            progressChanged(key.jobId(), jobProgress);
        } else if (record instanceof FinalRecord end) {
            ended(key.jobId(), end.outcome());
        } else if (record instanceof UnknownRecord) {
            cannotRead(key);
        }
    }

    private void cannotRead(Keys.JobKey key) {
        markUnreadable(
                key.jobId(), key.kind() == Keys.JobRecordKind.PROGRESS ? Unreadable.PROGRESS : Unreadable.STATUS);
    }

    private void markUnreadable(String id, Unreadable part) {
        unreadableJobs.merge(id, part, (known, added) -> known == Unreadable.STATUS ? known : added);
    }

    private void jobChanged(String id, JobRecord record) {
        if (isKnown(id)) {
            return;
        }
        openJobs.put(id, record);
        listener.onJobAccepted(record);
    }

    private void progressChanged(String id, ProgressRecord record) {
        if (hasEnded(id)) {
            return;
        }
        progressByJob.put(id, record);
        listener.onProgressRecorded(id, record);
    }

    private void ended(String id, FinalRecord.Outcome outcome) {
        outcomes.put(id, outcome);
        openJobs.remove(id);
        progressByJob.remove(id);
        listener.onJobEnded(id, outcome);
    }
}
