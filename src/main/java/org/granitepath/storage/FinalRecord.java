package org.granitepath.storage;

/** How a job ended. Written once and never changed, so a job is either done or cancelled, whoever is first. */
public record FinalRecord(Outcome outcome) implements StoredRecord {
    /** The two ways in which a job ends. */
    public enum Outcome {
        /** All its tasks are complete. */
        DONE,
        /** A user cancelled it. */
        CANCELLED
    }
}
