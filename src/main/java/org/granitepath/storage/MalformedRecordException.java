package org.granitepath.storage;

/** A record in the store that can't be read. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1;

    private final String key;

    MalformedRecordException(String key, MalformedFieldException cause) {
        super("record " + key + " is malformed: " + cause.getMessage(), cause);
        this.key = key;
    }

    /** The name of the record. */
    public String key() {
        return key;
    }
}
