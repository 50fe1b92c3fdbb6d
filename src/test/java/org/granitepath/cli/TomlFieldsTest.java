package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.granitepath.transport.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;

/** Typed access to TOML fields and the error messages for invalid fields. */
class TomlFieldsTest {
    @TempDir
    Path dir;

    private TomlFields parse(String toml) throws Exception {
        return TomlFields.parse(Files.writeString(dir.resolve("fields.toml"), toml));
    }

    private static void assertInvalid(String message, Executable read) {
        assertEquals(message, assertThrows(InvalidSettingException.class, read).getMessage());
    }

    @Test
    void fieldsOfEachTypeAreRead() throws Exception {
        TomlFields fields = parse("""
                name = "n0"
                addr = "host:80"
                [part]
                period_s = 1.5
                cpus = 2.5
                zones = ["a", 7]
                """);
        assertEquals("n0", fields.text("name"));
        assertEquals(new Address("host", 80), fields.address("addr"));
        assertEquals("host:80", fields.addressText("addr"));
        assertEquals(1_500_000, fields.micros("part.period_s"));
        assertEquals(1_500_000, fields.positiveMicros("part.period_s"));
        assertEquals(2_500, fields.thousandthsOrZero("part.cpus"));
        assertEquals(List.of("a", "7"), fields.textsOrEmpty("part.zones"));
        assertTrue(fields.isTable("part") && fields.has("part.cpus"));
    }

    @Test
    void missingFieldsHaveDefaultValues() throws Exception {
        TomlFields fields = parse("");
        assertFalse(fields.has("part.cpus"));
        assertEquals(List.of(), fields.tables("teams"));
        assertEquals(List.of(), fields.textsOrEmpty("zones"));
        assertEquals(0, fields.thousandthsOrZero("cpus"));
        assertEquals(7, fields.positiveMicrosOr("period_s", 7));
        assertEquals("null", fields.anyAsText("kind"));
    }

    @Test
    void errorsNameTheInvalidField() throws Exception {
        TomlFields fields = parse("name = \"\"\naddr = \"host:65536\"\nperiod_s = 0\nteams = 3\nlist = [1]\n");
        assertInvalid("name is missing or not a text", () -> fields.text("name"));
        assertInvalid("addr must be HOST:PORT, not host:65536", () -> fields.address("addr"));
        assertInvalid("period_s must be a number of at least 0.001", () -> fields.positiveMicros("period_s"));
        assertInvalid("part.rps must be a number of at least 0.1", () -> fields.number("part.rps", 0.1));
        assertInvalid("teams must be a list of tables", () -> fields.tables("teams"));
        assertInvalid("list must be a list of tables", () -> fields.tables("list"));
    }

    @Test
    void errorsNameTheUnreadableOrMalformedFile() throws IOException {
        Path missing = dir.resolve("missing.toml");
        assertInvalid("can't read " + missing + ": " + missing, () -> TomlFields.parse(missing));
        Path malformed = Files.writeString(dir.resolve("bad.toml"), "= 1\n");
        InvalidSettingException thrown = assertThrows(InvalidSettingException.class, () -> TomlFields.parse(malformed));
        assertTrue(thrown.getMessage().startsWith(malformed + " is not valid TOML: "), thrown.getMessage());
    }
}
