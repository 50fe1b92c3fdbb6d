package org.granitepath.storage;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to the fields of a decoded JSON object. The {@code ...Of} methods read fields that may be missing. The
 * {@code required...} methods read fields that every version writes and without which a record is malformed.
 */
public final class Fields {
    private Fields() {}

    /**
     * Returns a number as a long, or {@code defaultValue} if the field is missing or not a number. Fractions are cut
     * off.
     */
    public static long longOf(Map<String, Object> map, String name, long defaultValue) {
        return map.get(name) instanceof Number number ? number.longValue() : defaultValue;
    }

    /**
     * Returns a number as an int, or {@code defaultValue} if the field is missing or not a number. The number must be
     * in the range of {@code int}; fractions are cut off.
     */
    public static int intOf(Map<String, Object> map, String name, int defaultValue) {
        return (int) longOf(map, name, defaultValue);
    }

    /** Returns a number as a double, or {@code defaultValue} if the field is missing or not a number. */
    public static double doubleOf(Map<String, Object> map, String name, double defaultValue) {
        return map.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns true only if the field is true. */
    public static boolean boolOf(Map<String, Object> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    /** Returns a text, or null if the field is missing or not a text. */
    public static @Nullable String textOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof String text ? text : null;
    }

    /** Returns a text, or {@code defaultValue} if the field is missing or not a text. */
    public static String textOf(Map<String, Object> map, String name, String defaultValue) {
        return map.get(name) instanceof String text ? text : defaultValue;
    }

    /** Returns an object, or null if the field is missing or not an object. */
    public static @Nullable Map<String, Object> mapOf(Map<String, Object> map, String name) {
        return objectOrNull(map.get(name));
    }

    /** Returns a list, or an empty one if the field is missing or not a list. */
    public static List<?> listOf(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> list ? list : List.of();
    }

    /**
     * Returns a list of texts, or an empty one if the field is missing or not a list. Elements of other types are
     * converted to text.
     */
    public static List<String> textsOf(Map<String, Object> map, String name) {
        return texts(listOf(map, name));
    }

    /** Returns whether the field exists and is a number. */
    public static boolean isNumber(Map<String, Object> map, String name) {
        return map.get(name) instanceof Number;
    }

    /** Returns a decoded JSON value as an object, or null if it is not an object. */
    @SuppressWarnings("unchecked") // the field names of a decoded JSON object are strings
    public static @Nullable Map<String, Object> objectOrNull(@Nullable Object value) {
        return value instanceof Map<?, ?> map ? (Map<String, Object>) map : null;
    }

    /**
     * Returns an element of the list {@code listName} as an object.
     *
     * @throws MalformedFieldException if the element is not an object
     */
    public static Map<String, Object> requiredObject(@Nullable Object element, String listName) {
        Map<String, Object> object = objectOrNull(element);
        if (object == null) {
            throw new MalformedFieldException(listName, "an object", element);
        }
        return object;
    }

    /**
     * Returns an object.
     *
     * @throws MalformedFieldException if the field is missing or not an object
     */
    static Map<String, Object> requiredMap(Map<String, Object> map, String name) {
        return requiredObject(map.get(name), name);
    }

    /**
     * Returns a text.
     *
     * @throws MalformedFieldException if the field is missing or not a text
     */
    public static String requiredText(Map<String, Object> map, String name) {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedFieldException(name, "a text", map.get(name));
    }

    /**
     * Returns a number as an int.
     *
     * @throws MalformedFieldException if the field is missing or not a number
     */
    static int requiredInt(Map<String, Object> map, String name) {
        return requiredNumber(map.get(name), name).intValue();
    }

    /**
     * Returns a list.
     *
     * @throws MalformedFieldException if the field is missing or not a list
     */
    static List<?> requiredList(Map<String, Object> map, String name) {
        return requiredList(map.get(name), name);
    }

    /**
     * Returns a value as a list.
     *
     * @param name the field that has this value or contains it
     * @throws MalformedFieldException if the value is not a list
     */
    static List<?> requiredList(@Nullable Object value, String name) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedFieldException(name, "a list", value);
    }

    /**
     * Returns a value as a number.
     *
     * @param name the field that has this value or contains it
     * @throws MalformedFieldException if the value is not a number
     */
    static Number requiredNumber(@Nullable Object value, String name) {
        if (value instanceof Number number) {
            return number;
        }
        throw new MalformedFieldException(name, "a number", value);
    }

    /** Returns the elements converted to text. */
    static List<String> texts(List<?> elements) {
        return elements.stream().map(String::valueOf).toList();
    }
}
