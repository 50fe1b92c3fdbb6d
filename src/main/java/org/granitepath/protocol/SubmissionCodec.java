package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** What users send and are told. */
public final class SubmissionCodec {
    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{1,18}");
    private static final int MOST_TASKS = 100_000;
    private static final double MOST_AMOUNT = 1e9;
    private static final int LONGEST_NAME = 200;

    /** Why a submission is malformed, in words for its sender. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1;

        Malformed(String reason) {
            super(reason);
        }
    }

    private SubmissionCodec() {}

    /** Whether a text has the form of a job id. */
    public static boolean isJobId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** Reads and checks a submission. */
    public static JobSpec decode(String body) throws Malformed {
        Map<String, Object> m = Json.object(body);
        if (m == null) {
            throw new Malformed("not a JSON object");
        }
        String id = text(m, "uid");
        if (!isJobId(id)) {
            throw new Malformed("uid: not a job id");
        }
        if (!(m.get("pieces") instanceof Integer pieces) || pieces < 1 || pieces > MOST_TASKS) {
            throw new Malformed("pieces: must be a whole number from 1 to " + MOST_TASKS);
        }
        Object due = m.get("due_s");
        return new JobSpec(
                id,
                text(m, "lane"),
                text(m, "owner"),
                shape(text(m, "shape")),
                rank(text(m, "rank")),
                pieces,
                millis(m, "cpus"),
                millis(m, "cards"),
                millis(m, "mem_gb"),
                text(m, "bundle"),
                amount(m, "size_gb"),
                models(m.get("models")),
                m.get("site") == null ? null : text(m, "site"),
                flag(m, "same_place"),
                flag(m, "scatter"),
                flag(m, "loaner"),
                micros(m, "expect_s"),
                micros(m, "snapshot_s"),
                micros(m, "flush_s"),
                due == null ? JobSpec.NO_DEADLINE : micros(m, "due_s"));
    }

    private static JobSpec.Shape shape(String word) throws Malformed {
        return switch (word) {
            case "batch" -> JobSpec.Shape.BATCH;
            case "gang" -> JobSpec.Shape.GANG;
            case "daemon" -> JobSpec.Shape.SERVICE;
            default -> throw new Malformed("shape: must be batch, gang or daemon");
        };
    }

    private static Priority rank(String word) throws Malformed {
        return switch (word) {
            case "critical" -> Priority.CRITICAL;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.STANDARD;
            case "best_effort" -> Priority.BEST_EFFORT;
            default -> throw new Malformed("rank: must be critical, high, standard or best_effort");
        };
    }

    private static List<String> models(Object value) throws Malformed {
        if (value == null) {
            return null;
        }
        if (!(value instanceof List<?> list)) {
            throw new Malformed("models: must be a list of names or null");
        }
        List<String> names = new ArrayList<>();
        for (Object o : list) {
            if (!(o instanceof String s)) {
                throw new Malformed("models: must be a list of names or null");
            }
            names.add(s);
        }
        return names;
    }

    private static String text(Map<String, Object> m, String name) throws Malformed {
        if (!(m.get(name) instanceof String s) || s.isEmpty() || s.length() > LONGEST_NAME) {
            throw new Malformed(name + ": must be a text of 1 to " + LONGEST_NAME + " characters");
        }
        return s;
    }

    private static boolean flag(Map<String, Object> m, String name) throws Malformed {
        if (!(m.get(name) instanceof Boolean b)) {
            throw new Malformed(name + ": must be true or false");
        }
        return b;
    }

    private static double amount(Map<String, Object> m, String name) throws Malformed {
        if (!(m.get(name) instanceof Number n)) {
            throw new Malformed(name + ": must be a number");
        }
        double v = n.doubleValue();
        if (!(v >= 0 && v <= MOST_AMOUNT)) {
            throw new Malformed(name + ": must be from 0 to " + (long) MOST_AMOUNT);
        }
        return v;
    }

    private static long millis(Map<String, Object> m, String name) throws Malformed {
        return (long) Math.ceil(amount(m, name) * 1000 - 1e-6);
    }

    private static long micros(Map<String, Object> m, String name) throws Malformed {
        return Math.round(amount(m, name) * 1e6);
    }

    /** The status that tells the user how the request ended. */
    public static int httpStatus(JobResponse answer) {
        if (answer instanceof JobResponse.Status s) {
            return s.created() ? 201 : 200;
        }
        return answer instanceof JobResponse.NotFound ? 404 : answer instanceof JobResponse.Unschedulable ? 422 : 503;
    }

    /** The body of the answer to a user. */
    public static String encode(JobResponse answer) {
        Map<String, Object> m = new LinkedHashMap<>();
        if (answer instanceof JobResponse.Status s) {
            m.put("uid", s.job());
            m.put(
                    "status",
                    switch (s.state()) {
                        case PENDING -> "pending";
                        case RUNNING -> "running";
                        case DONE -> "done";
                        case CANCELLED -> "aborted";
                    });
            m.put("done", s.done());
            m.put("running", s.running());
        } else if (answer instanceof JobResponse.Unschedulable i) {
            m.put("error", i.reason());
        } else if (answer instanceof JobResponse.RetryLater t) {
            m.put("error", t.reason());
        } else {
            m.put("error", "no such job");
        }
        return Json.text(m);
    }
}
