package org.granitepath.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.JobSpecCodec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.MachineTypeCodec;
import org.granitepath.storage.MalformedRecordException;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.StoredRecordCodec;
import org.granitepath.storage.UnknownRecord;
import org.junit.jupiter.api.Test;

/**
 * The exact bytes of the records in the store and of the messages between controllers. Stored records and running
 * controllers of other versions depend on them, so they must not change when identifiers in the code do.
 */
class StoredFormatsTest {
    private static final String SPEC = "{\"id\":\"run-000412\",\"class\":\"train\",\"team\":\"vision\",\"shape\":0,"
            + "\"rank\":1,\"tasks\":16,\"cpu\":8000,\"gpu\":1000,\"mem\":64000,\"image\":\"img-07\",\"imageGb\":6.2,"
            + "\"types\":[\"g8\"],\"oneZone\":true,\"spread\":false,\"spot\":true,\"estimate\":240000000,"
            + "\"checkpoint\":30000000,\"save\":4000000,\"deadline\":900000000}";

    @Test
    void keys() {
        assertEquals(
                List.of("g/", "g/j/", "g/p/", "g/f/", "g/roster/", "g/leader", "g/baton", "g/types"),
                List.of(
                        Keys.ROOT_PREFIX,
                        Keys.JOB_PREFIX,
                        Keys.PROGRESS_PREFIX,
                        Keys.FINAL_PREFIX,
                        Keys.INVENTORY_PREFIX,
                        Keys.LEADER,
                        Keys.FENCING_TOKEN,
                        Keys.MACHINE_TYPES));
    }

    @Test
    void jobs() throws MalformedRecordException {
        String json = "{\"spec\":" + SPEC + ",\"at\":1700000000000000,\"claimed\":6,\"term\":41}";
        JobRecord record = (JobRecord) StoredRecordCodec.decode(Keys.jobKey("run-000412"), Json.decodeObject(json));
        assertEquals(JobSpec.Shape.BATCH, record.spec().shape());
        assertEquals("HIGH", record.spec().priority().name());
        assertEquals(json, Json.encode(StoredRecordCodec.encode(record)));
    }

    @Test
    void services() {
        String json = SPEC.replace("\"shape\":0", "\"shape\":2").replace("\"rank\":1", "\"rank\":0");
        JobSpec spec = JobSpecCodec.decode(Json.decodeObject(json));
        assertEquals(JobSpec.Shape.SERVICE, spec.shape());
        assertEquals("CRITICAL", spec.priority().name());
        assertEquals(json, Json.encode(JobSpecCodec.encode(spec)));
        assertEquals(
                JobSpec.Shape.GANG,
                JobSpecCodec.decode(Json.decodeObject(SPEC.replace("\"shape\":0", "\"shape\":1")))
                        .shape());
    }

    @Test
    void progress() throws MalformedRecordException {
        String json = "{\"owner\":\"worker-1\",\"claimed\":12,\"done\":[0,3,5,6],\"running\":4}";
        ProgressRecord record =
                (ProgressRecord) StoredRecordCodec.decode(Keys.progressKey("run-000412"), Json.decodeObject(json));
        assertEquals(4, ProgressRecord.count(record.doneTasks()));
        assertEquals(json, Json.encode(StoredRecordCodec.encode(record)));
    }

    @Test
    void finalStates() {
        assertEquals("{\"how\":0}", Json.encode(StoredRecordCodec.encode(new FinalRecord(FinalRecord.Outcome.DONE))));
        assertEquals(
                "{\"how\":1}", Json.encode(StoredRecordCodec.encode(new FinalRecord(FinalRecord.Outcome.CANCELLED))));
    }

    @Test
    void machines() throws MalformedRecordException {
        String json = "{\"hosts\":[[\"i-000231\",\"10.1.0.232:9000\",\"g8\",\"a\",1,41]]}";
        InventoryRecord record =
                (InventoryRecord) StoredRecordCodec.decode(Keys.inventoryPartKey(0), Json.decodeObject(json));
        assertEquals(
                new InventoryRecord.MachineRow("i-000231", "10.1.0.232:9000", "g8", "a", true, 41),
                record.machines().get(0));
        assertEquals(json, Json.encode(StoredRecordCodec.encode(record)));
    }

    @Test
    void machineTypes() {
        String json = "{\"name\":\"g8\",\"cpu\":96000,\"gpu\":8000,\"mem\":768000,\"fetch\":1.0,\"price\":12.0,"
                + "\"spot\":4.5,\"boot\":45000000,\"zones\":[\"a\",\"b\"]}";
        assertEquals(json, Json.encode(MachineTypeCodec.encode(MachineTypeCodec.decode(Json.decodeObject(json)))));
    }

    @Test
    void messagesBetweenControllers() {
        assertEquals(
                "9502a8776f726b65722d31cd04d2c311",
                HexFormat.of().formatHex(PeerCodec.encode(new PeerPort.PeerStatus("worker-1", 1234, true, 17))));
        assertEquals(
                "9302aa72756e2d3030303431324d",
                HexFormat.of().formatHex(PeerCodec.encode(new PeerPort.CancellationNotice("run-000412", 77))));
    }

    @Test
    void leaseRequests() {
        assertEquals(Map.of("life_ms", 3000), Json.decodeObject(KeyValueStoreCodec.encodeLeaseRequest(3_000_000)));
    }

    @Test
    void leaderAndToken() throws MalformedRecordException {
        LeaderRecord leader = new LeaderRecord("worker-1", "worker-1-2", 41);
        assertEquals(
                "{\"node\":\"worker-1\",\"incarnation\":\"worker-1-2\",\"baton\":41}",
                Json.encode(StoredRecordCodec.encode(leader)));
        String jsonOfEarlierVersion =
                "{\"node\":\"worker-1\",\"incarnation\":\"worker-1-2\",\"baton\":41,\"at\":1700000000000000}";
        assertEquals(leader, StoredRecordCodec.decode(Keys.LEADER, Json.decodeObject(jsonOfEarlierVersion)));
        FencingTokenRecord token = new FencingTokenRecord("worker-1", 41, 43);
        assertEquals(
                Map.of("owner", "worker-1", "term", 41, "last", 43),
                Json.decodeObject(Json.encode(StoredRecordCodec.encode(token))));
        assertEquals(
                token,
                StoredRecordCodec.decode(
                        Keys.FENCING_TOKEN, Json.decodeObject(Json.encode(StoredRecordCodec.encode(token)))));
    }

    /** A malformed record causes an error that names its key. Records of later versions' kinds are no error. */
    @Test
    void malformedAndUnknownRecords() throws MalformedRecordException {
        for (String key : List.of(Keys.JOB_PREFIX + "run-1", Keys.LEADER)) {
            Map<String, Object> empty = Map.of("spec", Map.of("id", "run-1"));
            MalformedRecordException e =
                    assertThrows(MalformedRecordException.class, () -> StoredRecordCodec.decode(key, empty));
            assertEquals(key, e.key());
        }
        Map<String, Object> badRow = Map.of("hosts", List.of(List.of("i-1", 7)));
        assertThrows(MalformedRecordException.class, () -> StoredRecordCodec.decode(Keys.INVENTORY_PREFIX + 0, badRow));
        assertEquals(
                UnknownRecord.class,
                StoredRecordCodec.decode("g/later/1", Map.of("x", 1)).getClass());
    }
}
