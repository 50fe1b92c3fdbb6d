package org.granitepath.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.JobSpecCodec;
import org.granitepath.storage.KeyValueStore.CommitResult;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Encoding, decoding and validation of the messages of all protocols. */
class CodecTest {
    private static final String GOOD = "{\"uid\":\"run-000412\",\"lane\":\"train\",\"owner\":\"vision\","
            + "\"shape\":\"batch\",\"rank\":\"high\",\"pieces\":16,\"cpus\":8.0,\"cards\":1.0,\"mem_gb\":64.0,"
            + "\"bundle\":\"img-07\",\"size_gb\":6.2,\"models\":[\"g8\"],\"site\":null,\"same_place\":true,"
            + "\"scatter\":false,\"loaner\":true,\"expect_s\":240.0,\"snapshot_s\":30.0,\"flush_s\":4.0,"
            + "\"due_s\":900.0,\"new_field\":{\"a\":[1]}}";

    @Test
    void submissionIsDecoded() throws SubmissionCodec.MalformedSubmissionException {
        JobSpec spec = SubmissionCodec.decode(GOOD);
        assertEquals(8_000, spec.cpuMillis());
        assertEquals(900_000_000, spec.deadlineMicros());
        assertEquals(List.of("g8"), spec.allowedTypeNames());
        assertFalse(spec.isService());
        assertEquals(spec, JobSpecCodec.decode(Json.decodeObject(Json.encode(JobSpecCodec.encode(spec)))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"pieces\":16>\"pieces\":0",
                "\"pieces\":16>\"pieces\":100001",
                "\"pieces\":16>\"pieces\":1.5",
                "\"pieces\":16>\"pieces\":\"16\"",
                "\"cpus\":8.0>\"cpus\":-1",
                "\"cpus\":8.0>\"cpus\":1e99",
                "\"cpus\":8.0>\"cpus\":NaN",
                "\"cpus\":8.0>\"cpus\":null",
                "run-000412>job-1",
                "run-000412>run-../x",
                "\"rank\":\"high\">\"rank\":\"top\"",
                "\"batch\">\"crowd\"",
                "[\"g8\"]>[1]",
                "\"same_place\":true>\"same_place\":1",
                "\"loaner\":true,>",
                "\"lane\":\"train\">\"lane\":\"train\",\"lane\":\"x\"",
                "{\"uid\">[\"uid\""
            })
    void malformedSubmissionsAreRejected(String change) {
        int at = change.indexOf('>');
        assertTrue(GOOD.contains(change.substring(0, at)), change);
        String body = GOOD.replace(change.substring(0, at), change.substring(at + 1));
        assertThrows(SubmissionCodec.MalformedSubmissionException.class, () -> SubmissionCodec.decode(body));
    }

    @Test
    void heartbeatIsDecoded() {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(
                "{\"host\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"model\":\"g8\",\"site\":\"a\","
                        + "\"loaner\":false,\"shift\":2,\"tally\":88,\"baton\":41,\"warning_s\":null,\"pieces\":["
                        + "{\"piece\":\"run-000398/0\",\"try\":7,\"status\":\"ended\",\"cause\":\"done\"}]}");
        assertEquals(new TaskId("run-000398", 0), heartbeat.tasks().get(0).task());
        assertEquals(Heartbeat.ExitCause.DONE, heartbeat.tasks().get(0).cause());
        assertEquals(-1, heartbeat.terminationNoticeMicros());
    }

    private static final String HEARTBEAT = "{\"host\":\"i-1\",\"address\":\"10.1.0.2:9000\",\"model\":\"g8\","
            + "\"site\":\"a\",\"shift\":2,\"tally\":88,\"pieces\":[{\"piece\":\"run-1/0\",\"try\":7,"
            + "\"status\":\"running\"}]}";

    @Test
    void heartbeatWithOnlyRequiredFieldsIsDecoded() {
        assertNotNull(WorkerCodec.decodeHeartbeat(HEARTBEAT));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"host\":\"i-1\">\"host\":7",
                "\"address\":\"10.1.0.2:9000\",>",
                "\"model\":\"g8\",>",
                "\"site\":\"a\",>",
                "\"shift\":2>\"shift\":\"2\"",
                "\"tally\":88,>",
                "run-1/0>run-1",
                "run-1/0>run-1/x",
                "\"status\":\"running\">\"status\":3",
                "[{>[3,{"
            })
    void heartbeatWithAnInvalidFieldIsRejected(String change) {
        int at = change.indexOf('>');
        assertTrue(HEARTBEAT.contains(change.substring(0, at)), change);
        assertNull(WorkerCodec.decodeHeartbeat(HEARTBEAT.replace(change.substring(0, at), change.substring(at + 1))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"host\":\"i-1\"}", "nonsense"})
    void otherMessagesAreRejectedAsHeartbeats(String body) {
        assertNull(WorkerCodec.decodeHeartbeat(body));
    }

    @Test
    void commandsAreEncoded() {
        Map<String, Object> response = Json.decodeObject(WorkerCodec.encode(
                new HeartbeatResponse.Accepted(41, List.of(WorkerCommand.stop(new TaskId("run-1", 3), 9, 2_500_000)))));
        assertEquals(
                Map.of("verb", "halt", "piece", "run-1/3", "try", 9, "leeway_s", 2.5),
                ((List<?>) response.get("orders")).get(0));
    }

    @Test
    void messagesBetweenControllersAreDecoded() {
        PeerPort.PeerStatus status = new PeerPort.PeerStatus("worker-1", 1234, true, 17);
        assertEquals(status, PeerCodec.decodeStatus(PeerCodec.encode(status)));
        assertNull(PeerCodec.decodeStatus(new byte[] {1, 2, 3}));
        PeerPort.CancellationNotice notice = new PeerPort.CancellationNotice("run-000412", 77);
        assertEquals(notice, PeerCodec.decodeCancellation(PeerCodec.encode(notice)));
        assertNull(PeerCodec.decodeCancellation(PeerCodec.encode(new PeerPort.CancellationNotice("no job", 77))));
        assertNull(PeerCodec.decodeCancellation(new byte[] {1, 2, 3}));
    }

    /**
     * A newer platform may use unknown states and causes. Decoding does not fail: the task counts as on its machine, or
     * as exited.
     */
    @Test
    void statesOfGangsAndUnknownStatesAreDecoded() {
        String body = "{\"host\":\"i-1\",\"address\":\"10.1.0.1:9000\",\"model\":\"g8\",\"site\":\"a\",\"shift\":1,"
                + "\"tally\":2,\"baton\":3,\"pieces\":["
                + "{\"piece\":\"run-1/0\",\"try\":7,\"status\":\"waiting\"},"
                + "{\"piece\":\"run-1/1\",\"try\":7,\"status\":\"ended\",\"cause\":\"mates_gone\"},"
                + "{\"piece\":\"run-1/2\",\"try\":7,\"status\":\"ended\",\"cause\":\"alone\"},"
                + "{\"piece\":\"run-1/3\",\"try\":7,\"status\":\"dreaming\"},"
                + "{\"piece\":\"run-1/4\",\"try\":7,\"status\":\"ended\",\"cause\":\"bored\"}]}";
        List<Heartbeat.TaskStatus> tasks = WorkerCodec.decodeHeartbeat(body).tasks();
        assertEquals(
                List.of(
                        Heartbeat.TaskState.WAITING,
                        Heartbeat.TaskState.EXITED,
                        Heartbeat.TaskState.EXITED,
                        Heartbeat.TaskState.FETCHING,
                        Heartbeat.TaskState.EXITED),
                tasks.stream().map(Heartbeat.TaskStatus::state).toList());
        assertEquals(
                List.of(
                        Heartbeat.ExitCause.NONE,
                        Heartbeat.ExitCause.PEER_GONE,
                        Heartbeat.ExitCause.INCOMPLETE,
                        Heartbeat.ExitCause.NONE,
                        Heartbeat.ExitCause.STOPPED),
                tasks.stream().map(Heartbeat.TaskStatus::cause).toList());
    }

    @Test
    void resultsOfTransactionsAreDecoded() {
        assertEquals(
                new CommitResult(Outcome.CONFLICT, 12, List.of("g/leader")),
                KeyValueStoreCodec.decodeCommitResult(
                        Outcome.CONFLICT, Json.decodeObject("{\"epoch\":12,\"failed\":[\"g/leader\"],\"later\":{}}")));
        assertEquals(
                new CommitResult(Outcome.REFUSED, 0, List.of()),
                KeyValueStoreCodec.decodeCommitResult(Outcome.REFUSED, Json.decodeObject("{\"error\":\"busy\"}")));
    }

    @Test
    void responsesOfTheCloudAreDecoded() {
        assertTrue(CloudCodec.isNoCapacity(Json.decodeObject("{\"error\":\"no capacity\"}")));
        assertFalse(CloudCodec.isNoCapacity(Json.decodeObject("{\"error\":\"busy\"}")));
        assertFalse(CloudCodec.isNoCapacity(Map.of()));
        assertTrue(CloudCodec.hasMore(Json.decodeObject("{\"hosts\":[],\"has_next\":true}")));
        assertFalse(CloudCodec.hasMore(Json.decodeObject("{\"hosts\":[]}")));
    }

    @Test
    void responseToAMalformedSubmissionHasTheReason() {
        SubmissionCodec.MalformedSubmissionException malformed =
                assertThrows(SubmissionCodec.MalformedSubmissionException.class, () -> SubmissionCodec.decode("[]"));
        assertEquals("{\"error\":\"not a JSON object\"}", SubmissionCodec.encode(malformed));
    }
}
