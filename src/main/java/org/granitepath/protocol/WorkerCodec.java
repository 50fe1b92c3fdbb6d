package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.Cause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Heartbeats of workers and commands to them. */
public final class WorkerCodec {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerCodec.class);

    private WorkerCodec() {}

    /** Null when it is no heartbeat. */
    public static Heartbeat decodeHeartbeat(String body) {
        Map<String, Object> m = Json.object(body);
        if (m == null
                || Fields.textOf(m, "host") == null
                || Fields.textOf(m, "address") == null
                || Fields.textOf(m, "model") == null
                || Fields.textOf(m, "site") == null
                || !(m.get("shift") instanceof Number)
                || !(m.get("tally") instanceof Number)) {
            return null;
        }
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object o : Fields.listOf(m, "pieces")) {
            if (!(o instanceof Map<?, ?>)) {
                return null;
            }
            @SuppressWarnings("unchecked")
            TaskStatus r = decodeTask((Map<String, Object>) o);
            if (r == null) {
                return null;
            }
            tasks.add(r);
        }
        double notice = Fields.doubleOf(m, "warning_s", -1);
        return new Heartbeat(
                Fields.textOf(m, "host"),
                Fields.textOf(m, "address"),
                Fields.textOf(m, "model"),
                Fields.textOf(m, "site"),
                Fields.boolOf(m, "loaner"),
                Fields.longOf(m, "shift", 0),
                Fields.longOf(m, "tally", 0),
                Fields.longOf(m, "baton", 0),
                notice < 0 ? -1 : Math.round(notice * 1e6),
                tasks);
    }

    private static TaskStatus decodeTask(Map<String, Object> m) {
        String piece = Fields.textOf(m, "piece");
        String status = Fields.textOf(m, "status");
        int slash = piece == null ? -1 : piece.lastIndexOf('/');
        if (slash < 0 || status == null) {
            return null;
        }
        TaskId id;
        try {
            id = new TaskId(piece.substring(0, slash), Integer.parseInt(piece.substring(slash + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
        return new TaskStatus(
                id,
                Fields.longOf(m, "try", 0),
                taskState(id, status),
                cause(id, Fields.textOf(m, "cause")),
                Fields.boolOf(m, "kept"));
    }

    /** A state that we don't know may be anything: the task counts as being on the machine. */
    private static TaskState taskState(TaskId task, String word) {
        return switch (word) {
            case "pulling" -> TaskState.FETCHING;
            case "waiting" -> TaskState.WAITING;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "ended" -> TaskState.EXITED;
            default -> {
                LOG.warn("task {} is in the unknown state {}", task, word);
                yield TaskState.FETCHING;
            }
        };
    }

    private static Cause cause(TaskId task, String word) {
        if (word == null) {
            return Cause.NONE;
        }
        return switch (word) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "error" -> Cause.FAILED;
            case "full" -> Cause.INSUFFICIENT_CAPACITY;
            case "in_use" -> Cause.BUSY;
            case "no_such" -> Cause.UNKNOWN_JOB;
            case "mates_gone" -> Cause.PEER_GONE;
            case "alone" -> Cause.INCOMPLETE;
            default -> {
                LOG.warn("task {} has exited for the unknown reason {}", task, word);
                yield Cause.STOPPED;
            }
        };
    }

    /** The status that tells the worker what to do. */
    public static int httpStatus(HeartbeatResponse answer) {
        return answer instanceof HeartbeatResponse.Accepted
                ? 200
                : answer instanceof HeartbeatResponse.Redirect ? 421 : 503;
    }

    /** The body of the answer to a heartbeat. */
    public static String encode(HeartbeatResponse answer) {
        if (answer instanceof HeartbeatResponse.Accepted a) {
            return encodeCommands(a.fencingToken(), -1, a.commands());
        }
        if (answer instanceof HeartbeatResponse.Redirect e && e.node() != null) {
            return Json.text(Map.of("supervisor", e.node()));
        }
        return "{}";
    }

    /** {@code agentEpoch} negative: left out, as in the answer to a heartbeat. */
    public static String encodeCommands(long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        List<Object> list = new ArrayList<>(commands.size());
        for (WorkerCommand o : commands) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    switch (o.verb()) {
                        case START -> "start";
                        case STOP -> "halt";
                        case CLEAR -> "clear";
                    });
            m.put("piece", o.task().toString());
            m.put("try", o.attempt());
            if (o.verb() == WorkerCommand.Verb.STOP) {
                m.put("leeway_s", o.graceMicros() / 1e6);
            }
            list.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", fencingToken);
        if (agentEpoch >= 0) {
            m.put("shift", agentEpoch);
        }
        m.put("orders", list);
        return Json.text(m);
    }
}
