package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.Map;
import org.granitepath.bookkeeping.Fields;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.ProgressRecord;

/** All jobs as the state service has them; every controller keeps this and answers users from it. */
public final class JobIndex {
    public enum Final {
        DONE(0),
        CANCELLED(1);

        private final int code;

        Final(int code) {
            this.code = code;
        }

        private static Final ofCode(int code) {
            return code == CANCELLED.code ? CANCELLED : DONE;
        }
    }

    /** Told when the records of a job change. */
    public interface Listener {
        void accepted(JobRecord job);

        void progressed(String id, ProgressRecord progress);

        void ended(String id, Final how);
    }

    private static final String FINAL_FIELD = "how";

    private final Map<String, JobRecord> open = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, ProgressRecord> progress = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, Final> finals = new Object2ObjectLinkedOpenHashMap<>();
    private Listener listener;

    public void listen(Listener next) {
        listener = next;
    }

    public static Map<String, Object> finalRecord(Final how) {
        return Map.of(FINAL_FIELD, how.code);
    }

    public Collection<JobRecord> openJobs() {
        return open.values();
    }

    public JobRecord openJob(String id) {
        return open.get(id);
    }

    public Final finalOf(String id) {
        return finals.get(id);
    }

    public ProgressRecord progressOf(String id) {
        return progress.getOrDefault(id, ProgressRecord.none());
    }

    /** Takes a changed record in. Removals don't occur among jobs. */
    void changed(String key, Map<String, Object> value) {
        if (value == null) {
            return;
        }
        if (key.startsWith(Keys.JOB)) {
            String id = key.substring(Keys.JOB.length());
            if (!finals.containsKey(id) && !open.containsKey(id)) {
                JobRecord record = JobRecord.fromMap(value);
                open.put(id, record);
                if (listener != null) {
                    listener.accepted(record);
                }
            }
        } else if (key.startsWith(Keys.PROGRESS)) {
            String id = key.substring(Keys.PROGRESS.length());
            if (!finals.containsKey(id)) {
                ProgressRecord record = ProgressRecord.fromMap(value);
                progress.put(id, record);
                if (listener != null) {
                    listener.progressed(id, record);
                }
            }
        } else if (key.startsWith(Keys.FINAL)) {
            String id = key.substring(Keys.FINAL.length());
            Final how = Final.ofCode(Fields.intOf(value, FINAL_FIELD, 0));
            finals.put(id, how);
            open.remove(id);
            progress.remove(id);
            if (listener != null) {
                listener.ended(id, how);
            }
        }
    }
}
