package org.granitepath.storage;

import org.jspecify.annotations.Nullable;

/** Thrown when a field of a decoded JSON object is missing or of another type than every version writes. */
public final class MalformedFieldException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final String field;

    MalformedFieldException(String field, String expected, @Nullable Object found) {
        super("field " + field + " must be " + expected + ", but is "
                + (found == null ? "missing" : "of " + found.getClass().getSimpleName()));
        this.field = field;
    }

    /** Returns the name of the field. */
    public String field() {
        return field;
    }
}
