package org.granitepath.storage;

/** Thrown when a record in the store cannot be read. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1;

    private final String key;

    MalformedRecordException(String key, MalformedFieldException cause) {
        super("record " + key + " is malformed: " + cause.getMessage(), cause);
        this.key = key;
    }

    /** Returns the key of the record. */
    public String key() {
        return key;
    }
}
