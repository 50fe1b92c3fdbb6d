package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.storage.FinalRecord.Outcome;

/** Final records as JSON objects. {@code how} is the outcome, as a code. */
final class FinalRecordCodec {
    private static final String HOW = "how";

    private static final int CODE_DONE = 0;
    private static final int CODE_CANCELLED = 1;

    private FinalRecordCodec() {}

    static Map<String, Object> encode(FinalRecord end) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(HOW, code(end.outcome()));
        return fields;
    }

    /** @throws MalformedFieldException when the outcome is missing or no number */
    static FinalRecord decode(Map<String, Object> fields) {
        return new FinalRecord(outcome(Fields.requiredInt(fields, HOW)));
    }

    private static int code(Outcome outcome) {
        return switch (outcome) {
            case DONE -> CODE_DONE;
            case CANCELLED -> CODE_CANCELLED;
        };
    }

    /** A code that is not known counts as done: the job is over all the same. */
    private static Outcome outcome(int code) {
        return code == CODE_CANCELLED ? Outcome.CANCELLED : Outcome.DONE;
    }
}
