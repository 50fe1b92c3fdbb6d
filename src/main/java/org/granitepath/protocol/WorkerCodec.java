package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.Fields;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the heartbeats of workers and encodes commands to them.
 *
 * <p>Names in the protocol with workers and their meaning: report: heartbeat; {@code shift}: agent epoch;
 * {@code tally}: heartbeat sequence number; {@code baton}: fencing token; {@code piece}: task; {@code try}: attempt;
 * {@code model}: machine type; {@code site}: zone; {@code loaner}: spot instance; {@code warning_s}: notice of the end
 * of a spot instance; {@code pulling}: fetching; {@code mates_gone}: peer gone; {@code alone}: gang incomplete;
 * {@code supervisor}: leader; {@code orders}: commands; {@code verb}: kind of command; {@code halt}: stop;
 * {@code leeway_s}: grace period.
 */
public final class WorkerCodec {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerCodec.class);

    private static final String HOST = "host";
    private static final String ADDRESS = "address";
    private static final String MODEL = "model";
    private static final String SITE = "site";
    private static final String SHIFT = "shift";
    private static final String TALLY = "tally";
    private static final String BATON = "baton";
    private static final String PIECE = "piece";
    private static final String TRY = "try";
    /** The cloud has not announced the end of the spot instance. */
    private static final long NO_NOTICE = -1;
    /** Stands for an agent epoch in a message that has none. */
    private static final long NO_AGENT_EPOCH = -1;

    private WorkerCodec() {}

    /** Decodes a heartbeat; returns null if it is malformed. */
    public static @Nullable Heartbeat decodeHeartbeat(String body) {
        Map<String, Object> fields = Json.decodeObject(body);
        return fields == null ? null : decodeHeartbeat(fields);
    }

    private static @Nullable Heartbeat decodeHeartbeat(Map<String, Object> fields) {
        String machine = Fields.textOf(fields, HOST);
        String address = Fields.textOf(fields, ADDRESS);
        String type = Fields.textOf(fields, MODEL);
        String zone = Fields.textOf(fields, SITE);
        boolean hasSequence = Fields.isNumber(fields, SHIFT) && Fields.isNumber(fields, TALLY);
        if (machine == null || address == null || type == null || zone == null || !hasSequence) {
            return null;
        }
        List<TaskStatus> tasks = decodeTasks(Fields.listOf(fields, "pieces"));
        if (tasks == null) {
            return null;
        }
        return new Heartbeat(
                machine,
                address,
                type,
                zone,
                Fields.boolOf(fields, "loaner"),
                Fields.longOf(fields, SHIFT, 0),
                Fields.longOf(fields, TALLY, 0),
                Fields.longOf(fields, BATON, 0),
                noticeMicros(Fields.doubleOf(fields, "warning_s", NO_NOTICE)),
                tasks);
    }

    private static long noticeMicros(double seconds) {
        return seconds < 0 ? NO_NOTICE : Units.secondsToMicros(seconds);
    }

    /** Returns null if one of the tasks is malformed. */
    private static @Nullable List<TaskStatus> decodeTasks(List<?> elements) {
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object element : elements) {
            Map<String, Object> fields = Fields.objectOrNull(element);
            TaskStatus task = fields == null ? null : decodeTask(fields);
            if (task == null) {
                return null;
            }
            tasks.add(task);
        }
        return tasks;
    }

    /** Returns null if the task is malformed. */
    private static @Nullable TaskStatus decodeTask(Map<String, Object> fields) {
        String piece = Fields.textOf(fields, PIECE);
        String status = Fields.textOf(fields, "status");
        TaskId task = piece == null ? null : decodeTaskId(piece);
        if (task == null || status == null) {
            return null;
        }
        return new TaskStatus(
                task,
                Fields.longOf(fields, TRY, 0),
                taskState(task, status),
                exitCause(task, Fields.textOf(fields, "cause")),
                Fields.boolOf(fields, "kept"));
    }

    /** Returns null if the text is not a job id and a task number separated by a slash. */
    private static @Nullable TaskId decodeTaskId(String piece) {
        int slash = piece.lastIndexOf('/');
        if (slash < 0) {
            return null;
        }
        try {
            return new TaskId(piece.substring(0, slash), Integer.parseInt(piece.substring(slash + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** An unknown state may mean anything, so the task counts as present on the machine. */
    private static TaskState taskState(TaskId task, String wireName) {
        return switch (wireName) {
            case "pulling" -> TaskState.FETCHING;
            case "waiting" -> TaskState.WAITING;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING;
            case "ended" -> TaskState.EXITED;
            default -> {
                LOG.warn("task {}: unknown state {}; treated as fetching", task, wireName);
                yield TaskState.FETCHING;
            }
        };
    }

    private static ExitCause exitCause(TaskId task, @Nullable String wireName) {
        if (wireName == null) {
            return ExitCause.NONE;
        }
        return switch (wireName) {
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "error" -> ExitCause.FAILED;
            case "full" -> ExitCause.INSUFFICIENT_CAPACITY;
            case "in_use" -> ExitCause.BUSY;
            case "no_such" -> ExitCause.UNKNOWN_JOB;
            case "mates_gone" -> ExitCause.PEER_GONE;
            case "alone" -> ExitCause.INCOMPLETE;
            default -> {
                LOG.warn("task {}: unknown exit cause {}; treated as stopped", task, wireName);
                yield ExitCause.STOPPED;
            }
        };
    }

    /** Returns the HTTP status of the response to a heartbeat. */
    public static int httpStatus(HeartbeatResponse response) {
        if (response instanceof HeartbeatResponse.Accepted) {
            return HttpStatus.OK;
        }
        return response instanceof HeartbeatResponse.Redirect
                ? HttpStatus.MISDIRECTED_REQUEST
                : HttpStatus.SERVICE_UNAVAILABLE;
    }

    /** Returns the body of the response to a heartbeat. */
    public static String encode(HeartbeatResponse response) {
        if (response instanceof HeartbeatResponse.Accepted accepted) {
            return encodeCommands(accepted.fencingToken(), NO_AGENT_EPOCH, accepted.commands());
        }
        if (response instanceof HeartbeatResponse.Redirect redirect && redirect.node() != null) {
            return Json.encode(Map.of("supervisor", redirect.node()));
        }
        return "{}";
    }

    /**
     * Returns a message with commands to a worker.
     *
     * @param agentEpoch the agent epoch of the worker; negative to omit it, as in the response to a heartbeat
     */
    public static String encodeCommands(long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        List<Object> encodedCommands = new ArrayList<>(commands.size());
        for (WorkerCommand command : commands) {
            encodedCommands.add(encodeCommand(command));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(BATON, fencingToken);
        if (agentEpoch >= 0) {
            fields.put(SHIFT, agentEpoch);
        }
        fields.put("orders", encodedCommands);
        return Json.encode(fields);
    }

    private static Map<String, Object> encodeCommand(WorkerCommand command) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("verb", verb(command.verb()));
        fields.put(PIECE, command.task().toString());
        fields.put(TRY, command.attempt());
        if (command.verb() == WorkerCommand.Verb.STOP) {
            fields.put("leeway_s", Units.microsToSeconds(command.graceMicros()));
        }
        return fields;
    }

    private static String verb(WorkerCommand.Verb verb) {
        return switch (verb) {
            case START -> "start";
            case STOP -> "halt";
            case CLEAR -> "clear";
        };
    }
}
