package org.granitepath.coordination;

import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;

/** Of a job that is over only the final state is kept; a day's descriptions would fill a small machine. */
final class EndedJobEviction {
    private final RecordReplica replica;
    private final JobIndex jobIndex;

    EndedJobEviction(RecordReplica replica, JobIndex jobIndex) {
        this.replica = replica;
        this.jobIndex = jobIndex;
    }

    /** A record was written, and the index knows of it: of a job that is over the replica forgets all but the end. */
    void recordWritten(String key) {
        Keys.jobKey(key).map(Keys.JobKey::jobId).filter(jobIndex::hasEnded).ifPresent(this::evict);
    }

    private void evict(String jobId) {
        replica.forget(Keys.job(jobId));
        replica.forget(Keys.progress(jobId));
    }
}
