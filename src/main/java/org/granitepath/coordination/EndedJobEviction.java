package org.granitepath.coordination;

import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;

/**
 * Evicts the description and progress of ended jobs from the replica, which keeps only their final state. The
 * descriptions of one day's jobs would fill the memory of a small machine.
 */
final class EndedJobEviction {
    private final RecordReplica replica;
    private final JobIndex jobIndex;

    EndedJobEviction(RecordReplica replica, JobIndex jobIndex) {
        this.replica = replica;
        this.jobIndex = jobIndex;
    }

    /**
     * Evicts all records but the final one if the key belongs to an ended job. Called after a record was written and
     * the job index was updated.
     */
    void onRecordWritten(String key) {
        Keys.parseJobKey(key).map(Keys.JobKey::jobId).filter(jobIndex::hasEnded).ifPresent(this::evict);
    }

    private void evict(String jobId) {
        replica.evict(Keys.jobKey(jobId));
        replica.evict(Keys.progressKey(jobId));
    }
}
