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

/** What answers users' requests for the one job {@link #SPEC}, over a store in memory. */
final class AdmissionFixture {
    static final long SECOND = 1_000_000;
    static final JobSpec SPEC = Fixtures.spec(JobSpec.Shape.BATCH, false, false);
    static final String JOB = SPEC.id();

    final ManualTimers timers = new ManualTimers();
    final MemoryStore store = new MemoryStore(timers);
    final Config config = TestConfigs.of("c1", "c1-1");
    final JobIndex jobIndex = new JobIndex();
    final JobAnswers answers = new JobAnswers(jobIndex);
    final WaitingRequests waitingRequests = new WaitingRequests();
    final RecordReplica replica = new RecordReplica(store, timers, SECOND / 10, new RecordReplica.Listener() {
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

    /** A controller of this fencing token leads by record. */
    void putLeader(long fencingToken) {
        store.put(Keys.LEADER, new LeaderRecord("c2", "c2-1", fencingToken), 0);
    }

    /** The job is on record, accepted by another controller. */
    void putJob() {
        store.put(Keys.job(JOB), new JobRecord(SPEC, 0, 0, 0), 0);
    }

    /** It is on record how the job ended. */
    void putEnd(FinalRecord.Outcome outcome) {
        store.put(Keys.finalRecord(JOB), new FinalRecord(outcome), 0);
    }

    /** Reads what is on record so far. */
    AdmissionFixture readRecords() {
        replica.start();
        timers.advance(SECOND);
        return this;
    }
}
