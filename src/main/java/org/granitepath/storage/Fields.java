package org.granitepath.storage;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to a decoded JSON object. The {@code ...Of} methods read fields that may be missing, the
 * {@code required...} methods those that every version writes: without them a record is malformed.
 */
public final class Fields {
    private Fields() {}

    /** A whole number, or {@code otherwise} when the field is missing or no number. */
    public static long longOf(Map<String, Object> map, String name, long otherwise) {
        return map.get(name) instanceof Number number ? number.longValue() : otherwise;
    }

    /** A whole number of the range of {@code int}, or {@code otherwise} when the field is missing or no number. */
    public static int intOf(Map<String, Object> map, String name, int otherwise) {
        return (int) longOf(map, name, otherwise);
    }

    /** A number, or {@code otherwise} when the field is missing or no number. */
    public static double doubleOf(Map<String, Object> map, String name, double otherwise) {
        return map.get(name) instanceof Number number ? number.doubleValue() : otherwise;
    }

    /** True only when the field is true. */
    public static boolean boolOf(Map<String, Object> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    /** A text, or null when the field is missing or no text. */
    public static @Nullable String textOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof String text ? text : null;
    }

    /** A text, or {@code otherwise} when the field is missing or no text. */
    public static String textOf(Map<String, Object> map, String name, String otherwise) {
        return map.get(name) instanceof String text ? text : otherwise;
    }

    /** An object, or null when the field is missing or no object. */
    public static @Nullable Map<String, Object> mapOf(Map<String, Object> map, String name) {
        return objectOrNull(map.get(name));
    }

    /** A list, or an empty one when the field is missing or no list. */
    public static List<?> listOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> list ? list : List.of();
    }

    /** A list of texts, or an empty one when the field is missing or no list. Other elements are read as texts. */
    public static List<String> textsOf(Map<String, Object> map, String name) {
        return texts(listOf(map, name));
    }

    /** Whether the field is there and a number. */
    public static boolean isNumber(Map<String, Object> map, String name) {
        return map.get(name) instanceof Number;
    }

    /** A decoded JSON value as an object, or null when it is none. */
    @SuppressWarnings("unchecked") // the names of the fields of a decoded JSON object are texts
    public static @Nullable Map<String, Object> objectOrNull(@Nullable Object value) {
        return value instanceof Map<?, ?> map ? (Map<String, Object>) map : null;
    }

    /**
     * An element of the list {@code listName}, as an object.
     *
     * @throws MalformedFieldException when it is none
     */
    public static Map<String, Object> requiredObject(@Nullable Object element, String listName) {
        Map<String, Object> object = objectOrNull(element);
        if (object == null) {
            throw new MalformedFieldException(listName, "an object", element);
        }
        return object;
    }

    /** @throws MalformedFieldException when the field is missing or no object */
    static Map<String, Object> requiredMap(Map<String, Object> map, String name) {
        return requiredObject(map.get(name), name);
    }

    /**
     * A text that must be there.
     *
     * @throws MalformedFieldException when the field is missing or no text
     */
    public static String requiredText(Map<String, Object> map, String name) {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedFieldException(name, "a text", map.get(name));
    }

    /** @throws MalformedFieldException when the field is missing or no number */
    static int requiredInt(Map<String, Object> map, String name) {
        return requiredNumber(map.get(name), name).intValue();
    }

    /** @throws MalformedFieldException when the field is missing or no list */
    static List<?> requiredList(Map<String, Object> map, String name) {
        return requiredList(map.get(name), name);
    }

    /** @throws MalformedFieldException when the value, that of the field {@code name} or within it, is no list */
    static List<?> requiredList(@Nullable Object value, String name) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedFieldException(name, "a list", value);
    }

    /** @throws MalformedFieldException when the value, that of the field {@code name} or within it, is no number */
    static Number requiredNumber(@Nullable Object value, String name) {
        if (value instanceof Number number) {
            return number;
        }
        throw new MalformedFieldException(name, "a number", value);
    }

    /** The elements as texts. */
    static List<String> texts(List<?> elements) {
        return elements.stream().map(String::valueOf).toList();
    }
}
