package org.granitepath.storage;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Typed access to a decoded JSON object. Records written by ourselves are read with these. */
public final class Fields {
    private Fields() {}

    /** A whole number, or {@code otherwise}. */
    public static long longOf(Map<String, Object> map, String name, long otherwise) {
        return map.get(name) instanceof Number n ? n.longValue() : otherwise;
    }

    /** A small whole number, or {@code otherwise}. */
    public static int intOf(Map<String, Object> map, String name, int otherwise) {
        return (int) longOf(map, name, otherwise);
    }

    /**
     * A small whole number that every version writes.
     *
     * @throws ClassCastException or NullPointerException when it is none, or missing
     */
    static int requiredInt(Map<String, Object> map, String name) {
        return ((Number) Objects.requireNonNull(map.get(name), name)).intValue();
    }

    /**
     * A list that every version writes.
     *
     * @throws ClassCastException or NullPointerException when it is none, or missing
     */
    static List<?> requiredList(Map<String, Object> map, String name) {
        return (List<?>) Objects.requireNonNull(map.get(name), name);
    }

    /** A number, or {@code otherwise}. */
    public static double doubleOf(Map<String, Object> map, String name, double otherwise) {
        return map.get(name) instanceof Number n ? n.doubleValue() : otherwise;
    }

    /** True only when the field is true. */
    public static boolean boolOf(Map<String, Object> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    /** A text, or null. */
    public static String textOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof String s ? s : null;
    }

    /** An object, or null. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> mapOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof Map<?, ?> m ? (Map<String, Object>) m : null;
    }

    /** A list, or an empty one. */
    public static List<?> listOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> l ? l : List.of();
    }
}
