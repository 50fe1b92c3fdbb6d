package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.Map;
import org.granitepath.bookkeeping.FinalRecord;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.ProgressRecord;
import org.granitepath.bookkeeping.StoredRecord;

/** All jobs as the state service has them; every controller keeps this and answers users from it. */
public final class JobIndex {
    /** Told when the records of a job change. */
    public interface Listener {
        /** A job was accepted. */
        void accepted(JobRecord job);

        /** More of a job is claimed or done. */
        void progressed(String id, ProgressRecord progress);

        /** A job is over. */
        void ended(String id, FinalRecord.Outcome how);
    }

    private final Map<String, JobRecord> open = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, ProgressRecord> progress = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, FinalRecord.Outcome> finals = new Object2ObjectLinkedOpenHashMap<>();
    private Listener listener;

    /** Sets the one listener; null: none. */
    public void listen(Listener next) {
        listener = next;
    }

    /** All accepted jobs that are not over. */
    public Collection<JobRecord> openJobs() {
        return open.values();
    }

    /** The accepted job of this name if it is not over, or null. */
    public JobRecord openJob(String id) {
        return open.get(id);
    }

    /** How the job ended, or null. */
    public FinalRecord.Outcome finalOf(String id) {
        return finals.get(id);
    }

    /** How far the job has come. */
    public ProgressRecord progressOf(String id) {
        return progress.getOrDefault(id, ProgressRecord.none());
    }

    /** Takes a changed record in. Removals don't occur among jobs. */
    void changed(String key, StoredRecord record) {
        if (record instanceof JobRecord job) {
            jobChanged(key.substring(Keys.JOB.length()), job);
        } else if (record instanceof ProgressRecord jobProgress) {
            progressChanged(key.substring(Keys.PROGRESS.length()), jobProgress);
        } else if (record instanceof FinalRecord end) {
            ended(key.substring(Keys.FINAL.length()), end.outcome());
        }
    }

    private void jobChanged(String id, JobRecord record) {
        if (finals.containsKey(id) || open.containsKey(id)) {
            return;
        }
        open.put(id, record);
        if (listener != null) {
            listener.accepted(record);
        }
    }

    private void progressChanged(String id, ProgressRecord record) {
        if (finals.containsKey(id)) {
            return;
        }
        progress.put(id, record);
        if (listener != null) {
            listener.progressed(id, record);
        }
    }

    private void ended(String id, FinalRecord.Outcome outcome) {
        finals.put(id, outcome);
        open.remove(id);
        progress.remove(id);
        if (listener != null) {
            listener.ended(id, outcome);
        }
    }
}
