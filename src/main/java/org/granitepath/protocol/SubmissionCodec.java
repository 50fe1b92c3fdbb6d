package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the submissions of users and encodes the responses.
 *
 * <p>Names in the protocol with users and their meaning: {@code uid}: job id; {@code lane}: job class; {@code owner}:
 * team; {@code pieces}: tasks; {@code daemon}: service; {@code rank}: priority; {@code cards}: GPUs; {@code bundle}:
 * image; {@code models}: machine types; {@code site}: zone; {@code same_place}: all tasks in one zone;
 * {@code scatter}: spread over zones; {@code loaner}: spot instances allowed; {@code expect_s}: estimate;
 * {@code snapshot_s}: time between checkpoints; {@code flush_s}: time to save; {@code due_s}: deadline;
 * {@code aborted}: cancelled.
 */
public final class SubmissionCodec {
    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;
    private static final double MAX_AMOUNT = 1e9;
    private static final int MAX_NAME_LENGTH = 200;

    private static final String ERROR = "error";

    /** A submission is malformed. The message says why and is sent to the user. */
    public static final class MalformedSubmissionException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedSubmissionException(String reason) {
            super(reason);
        }
    }

    private SubmissionCodec() {}

    /** Returns whether a text has the form of a job id. */
    public static boolean isJobId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /**
     * Decodes and validates a submission.
     *
     * @throws MalformedSubmissionException if the body is not a valid submission
     */
    public static JobSpec decode(String body) throws MalformedSubmissionException {
        Map<String, Object> fields = Json.decodeObject(body);
        if (fields == null) {
            throw new MalformedSubmissionException("not a JSON object");
        }
        String id = text(fields, "uid");
        if (!isJobId(id)) {
            throw new MalformedSubmissionException("uid: not a job id");
        }
        if (!(fields.get("pieces") instanceof Integer pieces) || pieces < 1 || pieces > MAX_TASKS) {
            throw new MalformedSubmissionException("pieces: must be a whole number from 1 to " + MAX_TASKS);
        }
        Object due = fields.get("due_s");
        return new JobSpec(
                id,
                text(fields, "lane"),
                text(fields, "owner"),
                shape(text(fields, "shape")),
                priority(text(fields, "rank")),
                pieces,
                thousandths(fields, "cpus"),
                thousandths(fields, "cards"),
                thousandths(fields, "mem_gb"),
                text(fields, "bundle"),
                amount(fields, "size_gb"),
                machineTypes(fields.get("models")),
                fields.get("site") == null ? null : text(fields, "site"),
                flag(fields, "same_place"),
                flag(fields, "scatter"),
                flag(fields, "loaner"),
                micros(fields, "expect_s"),
                micros(fields, "snapshot_s"),
                micros(fields, "flush_s"),
                due == null ? JobSpec.NO_DEADLINE : micros(fields, "due_s"));
    }

    private static JobSpec.Shape shape(String wireName) throws MalformedSubmissionException {
        return switch (wireName) {
            case "batch" -> JobSpec.Shape.BATCH;
            case "gang" -> JobSpec.Shape.GANG;
            case "daemon" -> JobSpec.Shape.SERVICE;
            default -> throw new MalformedSubmissionException("shape: must be batch, gang or daemon");
        };
    }

    private static Priority priority(String wireName) throws MalformedSubmissionException {
        return switch (wireName) {
            case "critical" -> Priority.CRITICAL;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.STANDARD;
            case "best_effort" -> Priority.BEST_EFFORT;
            default -> throw new MalformedSubmissionException("rank: must be critical, high, standard or best_effort");
        };
    }

    /** Returns the allowed machine types; null if any type is allowed. */
    private static @Nullable List<String> machineTypes(@Nullable Object value) throws MalformedSubmissionException {
        if (value == null) {
            return null;
        }
        if (!(value instanceof List<?> list)) {
            throw new MalformedSubmissionException("models: must be a list of names or null");
        }
        List<String> names = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof String name)) {
                throw new MalformedSubmissionException("models: must be a list of names or null");
            }
            names.add(name);
        }
        return names;
    }

    private static String text(Map<String, Object> fields, String name) throws MalformedSubmissionException {
        if (!(fields.get(name) instanceof String text) || text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
            throw new MalformedSubmissionException(
                    name + ": must be a text of 1 to " + MAX_NAME_LENGTH + " characters");
        }
        return text;
    }

    private static boolean flag(Map<String, Object> fields, String name) throws MalformedSubmissionException {
        if (!(fields.get(name) instanceof Boolean flag)) {
            throw new MalformedSubmissionException(name + ": must be true or false");
        }
        return flag;
    }

    private static double amount(Map<String, Object> fields, String name) throws MalformedSubmissionException {
        if (!(fields.get(name) instanceof Number number)) {
            throw new MalformedSubmissionException(name + ": must be a number");
        }
        double amount = number.doubleValue();
        if (!(amount >= 0 && amount <= MAX_AMOUNT)) {
            throw new MalformedSubmissionException(name + ": must be from 0 to " + (long) MAX_AMOUNT);
        }
        return amount;
    }

    /** Returns an amount in thousandths, rounded up so that a task gets at least what was requested. */
    private static long thousandths(Map<String, Object> fields, String name) throws MalformedSubmissionException {
        return Units.toThousandthsRoundedUp(amount(fields, name));
    }

    private static long micros(Map<String, Object> fields, String name) throws MalformedSubmissionException {
        return Units.secondsToMicros(amount(fields, name));
    }

    /** Returns the HTTP status of the response to a user. */
    public static int httpStatus(JobResponse response) {
        if (response instanceof JobResponse.Status status) {
            return status.created() ? HttpStatus.CREATED : HttpStatus.OK;
        } else if (response instanceof JobResponse.NotFound) {
            return HttpStatus.NOT_FOUND;
        }
        return response instanceof JobResponse.Unschedulable
                ? HttpStatus.UNPROCESSABLE_CONTENT
                : HttpStatus.SERVICE_UNAVAILABLE;
    }

    /** Returns the body of the response to a user. */
    public static String encode(JobResponse response) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (response instanceof JobResponse.Status status) {
            fields.put("uid", status.job());
            fields.put("status", stateName(status.state()));
            fields.put("done", status.finishedTasks());
            fields.put("running", status.runningTasks());
        } else if (response instanceof JobResponse.Unschedulable unschedulable) {
            fields.put(ERROR, unschedulable.reason());
        } else if (response instanceof JobResponse.RetryLater later) {
            fields.put(ERROR, later.reason());
        } else {
            fields.put(ERROR, "no such job");
        }
        return Json.encode(fields);
    }

    /** Returns the body of the response to a malformed submission. */
    public static String encode(MalformedSubmissionException malformed) {
        return Json.encode(Map.of(ERROR, malformed.getMessage()));
    }

    private static String stateName(JobResponse.JobState state) {
        return switch (state) {
            case PENDING -> "pending";
            case RUNNING -> "running";
            case DONE -> "done";
            case CANCELLED -> "aborted";
        };
    }
}
