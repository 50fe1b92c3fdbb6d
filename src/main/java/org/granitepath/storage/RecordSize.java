package org.granitepath.storage;

import java.util.Map;

/** Computes how many bytes a record takes as JSON. The store rejects values beyond a limit. */
public final class RecordSize {
    /**
     * The largest number of bytes of a character that may need an escape or is not ASCII: the length of an escape
     * sequence.
     */
    private static final int MAX_CHARACTER_BYTES = 6;

    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_ASCII = '~';

    private RecordSize() {}

    /** Returns an upper bound of the bytes that a record takes. */
    public static int of(StoredRecord record) {
        return ofValue(StoredRecordCodec.encode(record));
    }

    /** Returns an upper bound of the bytes that a JSON value takes. */
    static int ofValue(Object value) {
        if (value instanceof Map<?, ?> map) {
            int bytes = 2;
            for (var entry : map.entrySet()) {
                bytes += ofValue(entry.getKey()) + 1 + ofValue(entry.getValue()) + 1;
            }
            return bytes;
        }
        if (value instanceof Iterable<?> list) {
            int bytes = 2;
            for (Object element : list) {
                bytes += ofValue(element) + 1;
            }
            return bytes;
        }
        if (value instanceof String text) {
            return ofText(text);
        }
        return String.valueOf(value).length();
    }

    private static int ofText(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean plain = character >= FIRST_PRINTABLE
                    && character <= LAST_ASCII
                    && character != '"'
                    && character != '\\'
                    && character != '/';
            bytes += plain ? 1 : MAX_CHARACTER_BYTES;
        }
        return bytes;
    }
}
