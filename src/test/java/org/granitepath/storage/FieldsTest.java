package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Fields are read by type, with defaults for missing fields or with an error that names the field. */
class FieldsTest {
    private static final Map<String, Object> FIELDS = Map.of(
            "number", 2.5, "text", "t", "flag", true, "object", Map.of("a", 1), "list", Arrays.asList("a", 1, null));

    @Test
    void existingFieldsAreReadByType() {
        assertEquals(2, Fields.longOf(FIELDS, "number", 7));
        assertEquals(2, Fields.intOf(FIELDS, "number", 7));
        assertEquals(2.5, Fields.doubleOf(FIELDS, "number", 7));
        assertTrue(Fields.isNumber(FIELDS, "number"));
        assertEquals("t", Fields.textOf(FIELDS, "text"));
        assertTrue(Fields.boolOf(FIELDS, "flag"));
        assertEquals(Map.of("a", 1), Fields.mapOf(FIELDS, "object"));
        assertEquals(List.of("a", "1", "null"), Fields.textsOf(FIELDS, "list"));
        assertEquals(2, Fields.requiredInt(FIELDS, "number"));
        assertEquals("t", Fields.requiredText(FIELDS, "text"));
    }

    @Test
    void missingFieldsAndFieldsOfAnotherTypeGetDefaults() {
        for (String name : List.of("none", "object")) {
            assertEquals(7, Fields.longOf(FIELDS, name, 7));
            assertEquals(7, Fields.intOf(FIELDS, name, 7));
            assertEquals(7.5, Fields.doubleOf(FIELDS, name, 7.5));
            assertFalse(Fields.isNumber(FIELDS, name));
            assertNull(Fields.textOf(FIELDS, name));
            assertFalse(Fields.boolOf(FIELDS, name));
            assertEquals(List.of(), Fields.listOf(FIELDS, name));
            assertEquals(List.of(), Fields.textsOf(FIELDS, name));
        }
        assertNull(Fields.mapOf(FIELDS, "none"));
        assertNull(Fields.mapOf(FIELDS, "text"));
    }

    private static void assertMalformed(String message, Executable read) {
        assertEquals(message, assertThrows(MalformedFieldException.class, read).getMessage());
    }

    @Test
    void errorsNameTheField() {
        assertMalformed("field none must be a number, but is missing", () -> Fields.requiredInt(FIELDS, "none"));
        assertMalformed("field text must be a number, but is of String", () -> Fields.requiredInt(FIELDS, "text"));
        assertMalformed("field flag must be a text, but is of Boolean", () -> Fields.requiredText(FIELDS, "flag"));
        assertMalformed("field text must be a list, but is of String", () -> Fields.requiredList(FIELDS, "text"));
        assertMalformed("field text must be an object, but is of String", () -> Fields.requiredMap(FIELDS, "text"));
        assertMalformed("field list must be an object, but is missing", () -> Fields.requiredObject(null, "list"));
    }
}
