package org.granitepath.storage;

import java.util.Map;

/** How a job ended. Written once and never changed, so a job is either done or cancelled, whoever is first. */
public record FinalRecord(Outcome outcome) implements StoredRecord {
    private static final String OUTCOME_FIELD = "how";

    /** The two ways in which a job ends. */
    public enum Outcome {
        DONE(0),
        CANCELLED(1);

        private final int code;

        Outcome(int code) {
            this.code = code;
        }

        private static Outcome ofCode(int code) {
            return code == CANCELLED.code ? CANCELLED : DONE;
        }
    }

    @Override
    public Map<String, Object> toMap() {
        return Map.of(OUTCOME_FIELD, outcome.code);
    }

    static FinalRecord fromMap(Map<String, Object> fields) {
        return new FinalRecord(Outcome.ofCode(Fields.requiredInt(fields, OUTCOME_FIELD)));
    }
}
