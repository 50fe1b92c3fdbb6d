package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import com.google.common.collect.TreeRangeSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every kind of stored record is read back as written, accepts the fields of later versions, and is rejected if it is
 * malformed.
 */
class StoredRecordCodecTest {
    private static final JobSpec SPEC = new JobSpec(
            "run-1",
            "train",
            "vision",
            JobSpec.Shape.GANG,
            Priority.HIGH,
            4,
            8_000,
            1_000,
            64_000,
            "img-07",
            6.2,
            List.of("g8"),
            "a",
            true,
            false,
            true,
            240_000_000,
            30_000_000,
            4_000_000,
            JobSpec.NO_DEADLINE);

    private static Map<String, StoredRecord> oneOfEachKind() {
        TreeRangeSet<Integer> done = TreeRangeSet.create();
        done.add(Range.closedOpen(0, 3));
        done.add(Range.closedOpen(5, 6));
        Map<String, StoredRecord> records = new LinkedHashMap<>();
        records.put(Keys.jobKey("run-1"), new JobRecord(SPEC, 1_700_000_000_000_000L, 4, 41));
        records.put(Keys.progressKey("run-1"), new ProgressRecord("worker-1", 4, done, 2));
        records.put(Keys.finalRecordKey("run-1"), new FinalRecord(FinalRecord.Outcome.CANCELLED));
        records.put(
                Keys.inventoryPartKey(0),
                new InventoryRecord(
                        List.of(new InventoryRecord.MachineRow("i-1", "10.1.0.2:9000", "g8", "a", true, 41))));
        records.put(Keys.LEADER, new LeaderRecord("worker-1", "worker-1-2", 41));
        records.put(Keys.FENCING_TOKEN, new FencingTokenRecord("worker-1", 41, 43));
        records.put(
                Keys.MACHINE_TYPES,
                new MachineTypesRecord(List.of(
                        new MachineType("g8", 96_000, 8_000, 768_000, 1.0, 12.0, 4.5, 45_000_000, List.of("a", "b")))));
        records.put("g/later/1", new UnknownRecord(Map.of("x", 1)));
        return records;
    }

    private static Stream<Arguments> eachKind() {
        return oneOfEachKind().entrySet().stream().map(entry -> Arguments.of(entry.getKey(), entry.getValue()));
    }

    /** The compiler of Java 17 cannot check that the codec handles every permitted type. */
    @Test
    void everyPermittedTypeIsTested() {
        Set<Class<?>> tested =
                oneOfEachKind().values().stream().map(Object::getClass).collect(Collectors.toSet());
        assertEquals(Set.copyOf(Arrays.asList(StoredRecord.class.getPermittedSubclasses())), tested);
    }

    @ParameterizedTest
    @MethodSource("eachKind")
    void eachRecordIsReadBackAsWritten(String key, StoredRecord record) throws MalformedRecordException {
        assertEquals(record, StoredRecordCodec.decode(key, StoredRecordCodec.encode(record)));
    }

    @ParameterizedTest
    @MethodSource("eachKind")
    void fieldsOfLaterVersionsAreIgnored(String key, StoredRecord record) throws MalformedRecordException {
        Map<String, Object> fields = new HashMap<>(StoredRecordCodec.encode(record));
        fields.put("laterField", Map.of("a", List.of(1)));
        StoredRecord expected = record instanceof UnknownRecord ? new UnknownRecord(fields) : record;
        assertEquals(expected, StoredRecordCodec.decode(key, fields));
    }

    private static Stream<Arguments> malformedRecords() {
        Map<String, Object> spec = Map.of("id", "run-1", "class", "train", "team", "vision");
        return Stream.of(
                Arguments.of(Keys.jobKey("run-1"), Map.of("claimed", 1), "spec"),
                Arguments.of(Keys.jobKey("run-1"), Map.of("spec", List.of(), "claimed", 1), "spec"),
                Arguments.of(Keys.jobKey("run-1"), Map.of("spec", Map.of("id", "run-1"), "claimed", 1), "class"),
                Arguments.of(Keys.jobKey("run-1"), Map.of("spec", spec), "claimed"),
                Arguments.of(Keys.jobKey("run-1"), Map.of("spec", spec, "claimed", "1"), "claimed"),
                Arguments.of(Keys.progressKey("run-1"), Map.of("claimed", 1), "done"),
                Arguments.of(Keys.progressKey("run-1"), Map.of("claimed", 1, "done", 3), "done"),
                Arguments.of(Keys.progressKey("run-1"), Map.of("claimed", 1, "done", List.of(0, "3")), "done"),
                Arguments.of(Keys.progressKey("run-1"), Map.of("done", List.of()), "claimed"),
                Arguments.of(Keys.finalRecordKey("run-1"), Map.of(), "how"),
                Arguments.of(Keys.finalRecordKey("run-1"), Map.of("how", "done"), "how"),
                Arguments.of(Keys.inventoryPartKey(0), Map.of(), "hosts"),
                Arguments.of(Keys.inventoryPartKey(0), Map.of("hosts", List.of("i-1")), "hosts"),
                Arguments.of(
                        Keys.inventoryPartKey(0), Map.of("hosts", List.of(List.of("i-1", "b", "g8", "a", 1))), "hosts"),
                Arguments.of(
                        Keys.inventoryPartKey(0),
                        Map.of("hosts", List.of(List.of("i-1", 7, "g8", "a", 1, 2))),
                        "hosts"),
                Arguments.of(
                        Keys.inventoryPartKey(0),
                        Map.of("hosts", List.of(List.of("i-1", "b", "g8", "a", true, 2))),
                        "hosts"),
                Arguments.of(Keys.LEADER, Map.of("incarnation", "n-2"), "node"),
                Arguments.of(Keys.LEADER, Map.of("node", "n", "incarnation", 2), "incarnation"),
                Arguments.of(Keys.MACHINE_TYPES, Map.of("types", List.of("g8")), "types"));
    }

    /** The error names the record and the field. */
    @ParameterizedTest
    @MethodSource("malformedRecords")
    void malformedRecordsAreRejected(String key, Map<String, Object> fields, String field) {
        MalformedRecordException e =
                assertThrows(MalformedRecordException.class, () -> StoredRecordCodec.decode(key, fields));
        assertEquals(key, e.key());
        assertEquals(
                field,
                assertInstanceOf(MalformedFieldException.class, e.getCause()).field());
        assertTrue(e.getMessage().contains(key) && e.getMessage().contains("field " + field), e.getMessage());
    }

    /** Missing optional fields have the same defaults as in earlier versions. */
    @Test
    void optionalFieldsHaveDefaults() throws MalformedRecordException {
        assertEquals(new FencingTokenRecord(null, 0, 0), StoredRecordCodec.decode(Keys.FENCING_TOKEN, Map.of()));
        assertEquals(
                new MachineTypesRecord(List.of()), StoredRecordCodec.decode(Keys.MACHINE_TYPES, Map.of("types", 1)));
        assertEquals(
                new ProgressRecord(null, 2, TreeRangeSet.create(), 0),
                StoredRecordCodec.decode(Keys.progressKey("run-1"), Map.of("claimed", 2, "done", List.of(7))));
        JobSpec spec = JobSpecCodec.decode(Map.of("id", "run-1", "class", "train", "team", "vision"));
        assertEquals(JobSpec.Shape.BATCH, spec.shape());
        assertEquals(Priority.BEST_EFFORT, spec.priority());
        assertEquals(1, spec.tasks());
        assertEquals(JobSpec.NO_DEADLINE, spec.deadlineMicros());
    }

    /** Codes that a later version may have written. */
    @Test
    void unknownCodesAreReadAsDefaults() throws MalformedRecordException {
        JobSpec spec =
                JobSpecCodec.decode(Map.of("id", "run-1", "class", "train", "team", "vision", "shape", 9, "rank", 9));
        assertEquals(JobSpec.Shape.BATCH, spec.shape());
        assertEquals(Priority.BEST_EFFORT, spec.priority());
        assertEquals(
                new FinalRecord(FinalRecord.Outcome.DONE),
                StoredRecordCodec.decode(Keys.finalRecordKey("run-1"), Map.of("how", 9)));
    }
}
