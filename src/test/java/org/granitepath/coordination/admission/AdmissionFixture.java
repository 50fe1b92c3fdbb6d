package org.granitepath.coordination.admission;

import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.MemoryStore;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.WriteQueue;

/** The components that answer users' requests for the job {@link #SPEC}, with a store in memory. */
final class AdmissionFixture {
    static final long SECOND_MICROS = 1_000_000;
    static final JobSpec SPEC = Fixtures.spec(JobSpec.Shape.BATCH, false, false);
    static final String JOB_ID = SPEC.id();

    final ManualTimers timers = new ManualTimers();
    final MemoryStore store = new MemoryStore(timers);
    final Config config = TestConfigs.of("c1", "c1-1");
    final JobIndex jobIndex = new JobIndex();
    final JobAnswers answers = new JobAnswers(jobIndex);
    final WaitingRequests waitingRequests = new WaitingRequests();
    final RecordReplica replica = new RecordReplica(store, timers, SECOND_MICROS / 10, new RecordReplica.Listener() {
        @Override
        public void onRecordChanged(String key, StoredRecord record, long revision) {
            jobIndex.applyRecord(key, record);
        }

        @Override
        public void onLoaded() {}
    });
    final WriteQueue writeQueue = new WriteQueue(
            store,
            replica,
            timers,
            20,
            50,
            RateControl.ADAPTIVE,
            () -> List.of(new Precondition(Keys.LEADER, replica.revision(Keys.LEADER))),
            () -> true);

    /** Writes a leader's record with this fencing token to the store. */
    void writeLeader(long fencingToken) {
        store.put(Keys.LEADER, new LeaderRecord("c2", "c2-1", fencingToken), 0);
    }

    /** Writes the job's record to the store, as another controller that accepted the job does. */
    void writeJob() {
        store.put(Keys.jobKey(JOB_ID), new JobRecord(SPEC, 0, 0, 0), 0);
    }

    /** Writes the job's outcome to the store. */
    void writeOutcome(FinalRecord.Outcome outcome) {
        store.put(Keys.finalRecordKey(JOB_ID), new FinalRecord(outcome), 0);
    }

    /** Starts the replica and lets it read all records. */
    AdmissionFixture readRecords() {
        replica.start();
        timers.advance(SECOND_MICROS);
        return this;
    }
}
