package org.granitepath.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.leadership.MemoryStore;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The replica keeps only the final record of an ended job, in whatever order the job's records arrive. */
class EndedJobEvictionTest {
    private static final String JOB = "run-1";
    private static final List<String> KEYS = List.of(Keys.jobKey(JOB), Keys.progressKey(JOB), Keys.finalRecordKey(JOB));

    private final ManualTimers timers = new ManualTimers();
    private final JobIndex jobIndex = new JobIndex();
    private final RecordReplica replica =
            new RecordReplica(new MemoryStore(timers), timers, 100_000, new RecordReplica.Listener() {
                @Override
                public void onRecordChanged(String key, StoredRecord record, long revision) {
                    jobIndex.applyRecord(key, record);
                }

                @Override
                public void onLoaded() {}
            });
    private final EndedJobEviction eviction = new EndedJobEviction(replica, jobIndex);

    private void write(String key) {
        StoredRecord record = switch (Keys.parseJobKey(key).orElseThrow().kind()) {
            case JOB -> new JobRecord(Fixtures.spec(JobSpec.Shape.BATCH, false, false), 0, 0, 0);
            case PROGRESS -> ProgressRecord.empty();
            case FINAL -> new FinalRecord(FinalRecord.Outcome.DONE);
        };
        replica.applyCommitted(key, record, 1);
        eviction.onRecordWritten(key);
    }

    private List<String> keysInReplica() {
        return KEYS.stream().filter(replica::has).toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"g/j/run-1 g/p/run-1 g/f/run-1", "g/f/run-1 g/p/run-1 g/j/run-1"})
    void onlyTheFinalRecordOfAnEndedJobIsKept(String order) {
        Stream.of(order.split(" ")).forEach(this::write);
        assertEquals(List.of(Keys.finalRecordKey(JOB)), keysInReplica());
    }

    @ParameterizedTest
    @ValueSource(strings = {"g/j/run-1 g/p/run-1", "g/p/run-1 g/j/run-1"})
    void allRecordsOfAnOpenJobAreKept(String order) {
        Stream.of(order.split(" ")).forEach(this::write);
        assertEquals(List.of(Keys.jobKey(JOB), Keys.progressKey(JOB)), keysInReplica());
    }
}
