package org.granitepath.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.CloudPort.LaunchRequest;
import org.granitepath.coordination.ports.CloudPort.ListedMachine;
import org.granitepath.coordination.ports.CloudPort.MachineState;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.granitepath.recovery.Verdict;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Keys;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.MachineTypesRecord;
import org.granitepath.storage.StoredRecordCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pcollections.OrderedPSet;

/**
 * The exact bytes of the messages that are exchanged with workers, the cloud, the store, users and operators. The other
 * sides depend on these names, so the names must not change when identifiers in the code do.
 */
class OutsideFormatsTest {
    private static final TaskId TASK = new TaskId("run-000412", 3);

    @Test
    void commandsInTheResponseToAHeartbeat() {
        HeartbeatResponse response = new HeartbeatResponse.Accepted(
                41,
                List.of(
                        WorkerCommand.start(TASK, 7),
                        WorkerCommand.stop(TASK, 6, 2_500_000),
                        WorkerCommand.clear(TASK, 5)));
        assertEquals(200, WorkerCodec.httpStatus(response));
        assertEquals(
                "{\"baton\":41,\"orders\":[{\"verb\":\"start\",\"piece\":\"run-000412/3\",\"try\":7},"
                        + "{\"verb\":\"halt\",\"piece\":\"run-000412/3\",\"try\":6,\"leeway_s\":2.5},"
                        + "{\"verb\":\"clear\",\"piece\":\"run-000412/3\",\"try\":5}]}",
                WorkerCodec.encode(response));
    }

    @Test
    void otherResponsesToAHeartbeat() {
        HeartbeatResponse known = new HeartbeatResponse.Redirect("worker-2");
        HeartbeatResponse unknown = new HeartbeatResponse.Redirect(null);
        HeartbeatResponse none = new HeartbeatResponse.Unavailable();
        assertEquals(
                "421 {\"supervisor\":\"worker-2\"}", WorkerCodec.httpStatus(known) + " " + WorkerCodec.encode(known));
        assertEquals("421 {}", WorkerCodec.httpStatus(unknown) + " " + WorkerCodec.encode(unknown));
        assertEquals("503 {}", WorkerCodec.httpStatus(none) + " " + WorkerCodec.encode(none));
    }

    @Test
    void directCommands() {
        assertEquals(
                "{\"baton\":41,\"shift\":2,\"orders\":[{\"verb\":\"start\",\"piece\":\"run-000412/3\",\"try\":7}]}",
                WorkerCodec.encodeCommands(41, 2, List.of(WorkerCommand.start(TASK, 7))));
        assertEquals("{\"baton\":41,\"shift\":0,\"orders\":[]}", WorkerCodec.encodeCommands(41, 0, List.of()));
    }

    @Test
    void heartbeats() {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(
                "{\"host\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"model\":\"g8\",\"site\":\"a\",\"loaner\":true,"
                        + "\"shift\":2,\"tally\":88,\"baton\":41,\"warning_s\":12.5,\"pieces\":[{\"piece\":"
                        + "\"run-000412/3\",\"try\":7,\"status\":\"ended\",\"cause\":\"stopped\",\"kept\":true}]}");
        assertEquals(
                new Heartbeat(
                        "i-1",
                        "10.1.0.2:9000",
                        "g8",
                        "a",
                        true,
                        2,
                        88,
                        41,
                        12_500_000,
                        List.of(new Heartbeat.TaskStatus(TASK, 7, TaskState.EXITED, ExitCause.STOPPED, true))),
                heartbeat);
    }

    @ParameterizedTest
    @CsvSource({"pulling,FETCHING", "waiting,WAITING", "running,RUNNING", "saving,SAVING", "ended,EXITED"})
    void statesOfTasks(String wireName, TaskState state) {
        assertEquals(state, decodeTaskStatus("\"status\":\"" + wireName + "\"").state());
    }

    @ParameterizedTest
    @CsvSource({
        "done,DONE",
        "stopped,STOPPED",
        "error,FAILED",
        "full,INSUFFICIENT_CAPACITY",
        "in_use,BUSY",
        "no_such,UNKNOWN_JOB",
        "mates_gone,PEER_GONE",
        "alone,INCOMPLETE"
    })
    void causesOfExits(String wireName, ExitCause cause) {
        assertEquals(
                cause,
                decodeTaskStatus("\"status\":\"ended\",\"cause\":\"" + wireName + "\"")
                        .cause());
    }

    private static Heartbeat.TaskStatus decodeTaskStatus(String fields) {
        return WorkerCodec.decodeHeartbeat("{\"host\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"model\":\"g8\","
                        + "\"site\":\"a\",\"shift\":2,\"tally\":88,\"pieces\":[{\"piece\":\"run-1/0\",\"try\":7,"
                        + fields + "}]}")
                .tasks()
                .get(0);
    }

    @Test
    void requestsToTheCloud() {
        assertEquals(
                "{\"booking\":\"b41-1\",\"model\":\"g8\",\"site\":\"a\",\"loaner\":true,\"count\":12}",
                CloudCodec.encodeLaunch(new LaunchRequest("b41-1", "g8", "a", true, 12)));
        assertEquals("{\"hosts\":[\"i-1\",\"i-2\"]}", CloudCodec.encodeTermination(List.of("i-1", "i-2")));
    }

    @Test
    void responsesOfTheCloud() {
        assertEquals(List.of("i-1"), CloudCodec.decodeLaunchedMachines(Json.decodeObject("{\"hosts\":[\"i-1\"]}")));
        assertEquals(
                List.of(new MachineType("g8", 96_000, 8_000, 768_000, 1.0, 12.0, 4.5, 45_000_000, List.of("a", "b"))),
                CloudCodec.decodeMachineTypes(
                        Json.decodeObject("{\"models\":[{\"sku\":\"g8\",\"cpus\":96,\"cards\":8,\"mem_gb\":768,"
                                + "\"cache_gb\":200,\"fetch_gb_per_s\":1.0,\"rate\":12.0,"
                                + "\"market_price\":4.5,\"ready_s\":45,"
                                + "\"sites\":[\"a\",\"b\"]}]}")));
    }

    @ParameterizedTest
    @CsvSource({"starting,BOOTING", "running,RUNNING", "failed,FAILED"})
    void machinesInTheListOfTheCloud(String wireName, MachineState state) {
        assertEquals(
                List.of(new ListedMachine("i-1", "10.1.0.2:9000", "g8", "a", true, state, 61_500_000)),
                CloudCodec.decodeListing(Json.decodeObject("{\"hosts\":[{\"uid\":\"i-1\",\"address\":\"10.1.0.2:9000\","
                        + "\"model\":\"g8\",\"site\":\"a\",\"loaner\":true,\"status\":\"" + wireName
                        + "\",\"held_s\":61.5}],\"has_next\":false}")));
    }

    @Test
    void transactions() {
        Transaction transaction = new Transaction(
                List.of(new Precondition("g/leader", 412)),
                List.of(
                        new Change("g/f/run-1", new FinalRecord(FinalRecord.Outcome.DONE), 7),
                        Change.write("g/f/run-2", new FinalRecord(FinalRecord.Outcome.CANCELLED)),
                        Change.remove("c/d")));
        assertEquals(
                Json.decodeObject(
                        "{\"guards\":[{\"key\":\"g/leader\",\"stamp\":412}],\"apply\":[{\"write\":\"g/f/run-1\","
                                + "\"v\":{\"how\":0},\"permit\":7},{\"write\":\"g/f/run-2\",\"v\":{\"how\":1}},"
                                + "{\"remove\":\"c/d\"}]}"),
                Json.decodeObject(KeyValueStoreCodec.encodeTransaction(transaction)));
    }

    @Test
    void responsesOfTheStore() {
        assertEquals(
                new Page(Outcome.OK, List.of(new Item("a/b", Map.of("x", 1), 412)), true, 431),
                KeyValueStoreCodec.decodeList(
                        Json.decodeObject("{\"items\":[{\"key\":\"a/b\",\"v\":{\"x\":1},\"stamp\":412}],"
                                + "\"has_next\":true,\"epoch\":431}")));
        assertEquals(
                new Page(
                        Outcome.OK,
                        List.of(new Item("c/9", Map.of("x", 1), 433), new Item("c/d", null, 432)),
                        false,
                        433),
                KeyValueStoreCodec.decodeEvents(
                        Json.decodeObject("{\"epoch\":433,\"events\":[{\"write\":\"c/9\",\"v\":{\"x\":1},"
                                + "\"stamp\":433},{\"remove\":\"c/d\",\"stamp\":432}]}")));
        assertEquals(7, KeyValueStoreCodec.decodeLeaseId(Json.decodeObject("{\"permit\":7}")));
    }

    @Test
    void machineTypesInTheStore() throws Exception {
        MachineTypesRecord record = new MachineTypesRecord(
                List.of(new MachineType("g8", 96_000, 8_000, 768_000, 1.0, 12.0, 4.5, 45_000_000, List.of("a", "b"))));
        String json = "{\"types\":[{\"name\":\"g8\",\"cpu\":96000,\"gpu\":8000,\"mem\":768000,\"fetch\":1.0,"
                + "\"price\":12.0,\"spot\":4.5,\"boot\":45000000,\"zones\":[\"a\",\"b\"]}]}";
        assertEquals(json, Json.encode(StoredRecordCodec.encode(record)));
        assertEquals(record, StoredRecordCodec.decode(Keys.MACHINE_TYPES, Json.decodeObject(json)));
    }

    @ParameterizedTest
    @CsvSource({"PENDING,pending", "RUNNING,running", "DONE,done", "CANCELLED,aborted"})
    void jobStates(JobState state, String wireName) {
        JobResponse status = new JobResponse.Status(false, "run-1", state, 3, 13);
        assertEquals(
                "{\"uid\":\"run-1\",\"status\":\"" + wireName + "\",\"done\":3,\"running\":13}",
                SubmissionCodec.encode(status));
        assertEquals(200, SubmissionCodec.httpStatus(status));
    }

    @Test
    void responsesToUsers() {
        Map<String, JobResponse> responses = new LinkedHashMap<>();
        responses.put(
                "201 {\"uid\":\"run-1\",\"status\":\"pending\",\"done\":0,\"running\":0}",
                new JobResponse.Status(true, "run-1", JobState.PENDING, 0, 0));
        responses.put("404 {\"error\":\"no such job\"}", new JobResponse.NotFound());
        responses.put("422 {\"error\":\"unknown team\"}", new JobResponse.Unschedulable("unknown team"));
        responses.put("503 {\"error\":\"starting\"}", new JobResponse.RetryLater("starting", 2));
        List<String> encoded = new ArrayList<>();
        responses
                .values()
                .forEach(response ->
                        encoded.add(SubmissionCodec.httpStatus(response) + " " + SubmissionCodec.encode(response)));
        assertEquals(List.copyOf(responses.keySet()), encoded);
    }

    @Test
    void recoveryStatusOfALeader() {
        Map<Verdict, Integer> tasks = new EnumMap<>(Verdict.class);
        tasks.put(Verdict.ADOPTED, 5);
        tasks.put(Verdict.UNCONFIRMED, 2);
        RecoveryStatus status = new RecoveryStatus(
                "n0",
                Role.LEADING,
                "n0",
                "confirmed",
                250_000,
                0,
                new RecoveryStatus.Term(
                        RecoveryPhase.RESUMING_LIVE,
                        41,
                        431,
                        new RecoveryStatus.Machines(3, OrderedPSet.singleton("i-1"), 0),
                        tasks,
                        9,
                        new RecoveryStatus.Hold("2 tasks in doubt", 1_500_000)));
        assertEquals(
                "{\"node\":\"n0\",\"role\":\"leading\",\"leader\":\"n0\",\"reason\":\"confirmed\","
                        + "\"records_age_s\":0.25,\"unreadable_records\":0,\"phase\":\"resuming_live\","
                        + "\"fencing_token\":41,\"revision\":431,\"machines\":{\"taken_over\":3,"
                        + "\"heard_or_gone\":2,\"missing\":1,\"missing_names\":[\"i-1\"],"
                        + "\"unreadable_inventory_parts\":0},\"tasks\":{\"adopted\":5,\"in_doubt\":2},"
                        + "\"attempts_compared\":9,\"other_work_held\":true,\"held_for\":\"2 tasks in doubt\","
                        + "\"held_at_most_s\":1.5}",
                RecoveryStatusCodec.encode(status));
    }

    @Test
    void recoveryStatusOfOtherControllers() {
        assertEquals(
                "{\"node\":\"n1\",\"role\":\"following\",\"leader\":\"n0\",\"reason\":\"ask the leader\","
                        + "\"records_age_s\":0.1,\"unreadable_records\":1}",
                RecoveryStatusCodec.encode(
                        RecoveryStatus.withoutTerm("n1", Role.FOLLOWING, "n0", "ask the leader", 100_000, 1)));
        assertEquals(
                "{\"node\":\"n1\",\"role\":\"unknown\",\"reason\":\"starting\",\"unreadable_records\":0}",
                RecoveryStatusCodec.encode(RecoveryStatus.withoutTerm("n1", Role.UNKNOWN, null, "starting", -1, 0)));
        assertNull(Json.decodeObject("nonsense"));
    }
}
