package org.granitepath.storage;

/**
 * How a job ended. The record is written once and never changed, so a job is either done or cancelled, whichever is
 * recorded first.
 */
public record FinalRecord(Outcome outcome) implements StoredRecord {
    /** The two ways in which a job can end. */
    public enum Outcome {
        /** All tasks of the job are complete. */
        DONE,
        /** A user cancelled the job. */
        CANCELLED
    }
}
