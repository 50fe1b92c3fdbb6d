package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.storage.FinalRecord.Outcome;

/** Encodes final records as JSON objects. The stored field {@code how} is the outcome, as a code. */
final class FinalRecordCodec {
    private static final String HOW = "how";

    private static final int CODE_DONE = 0;
    private static final int CODE_CANCELLED = 1;

    private FinalRecordCodec() {}

    static Map<String, Object> encode(FinalRecord finalRecord) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(HOW, code(finalRecord.outcome()));
        return fields;
    }

    /** @throws MalformedFieldException if the outcome is missing or not a number */
    static FinalRecord decode(Map<String, Object> fields) {
        return new FinalRecord(outcome(Fields.requiredInt(fields, HOW)));
    }

    private static int code(Outcome outcome) {
        return switch (outcome) {
            case DONE -> CODE_DONE;
            case CANCELLED -> CODE_CANCELLED;
        };
    }

    /** Returns the outcome of a code. An unknown code counts as done, because the job has ended in any case. */
    private static Outcome outcome(int code) {
        return code == CODE_CANCELLED ? Outcome.CANCELLED : Outcome.DONE;
    }
}
