package org.granitepath.cli;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.granitepath.protocol.Units;
import org.granitepath.transport.Address;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to the fields of a TOML table. A field is named by its path from the table, separated by dots. An
 * exception for a missing field or one of the wrong type names this path.
 */
final class TomlFields {
    private static final double MIN_POSITIVE_SECONDS = 0.001;
    private static final int THOUSANDTHS_PER_UNIT = 1000;
    private static final int MAX_PORT = 65_535;

    private final UnmodifiableConfig table;

    private TomlFields(UnmodifiableConfig table) {
        this.table = table;
    }

    /**
     * Parses a TOML file.
     *
     * @throws InvalidSettingException if the file cannot be read or is not valid TOML
     */
    static TomlFields parse(Path file) throws InvalidSettingException {
        try {
            return new TomlFields(new TomlParser().parse(Files.readString(file)));
        } catch (IOException e) {
            throw InvalidSettingException.unreadable(file, e);
        } catch (ParsingException e) {
            throw InvalidSettingException.malformed(file, "TOML", e);
        }
    }

    /** Returns whether the field exists, with any type. */
    boolean has(String path) {
        return table.get(path) != null;
    }

    /** Returns whether the field is a table. */
    boolean isTable(String path) {
        return table.get(path) instanceof UnmodifiableConfig;
    }

    /** Returns a list of tables; empty if the field is missing. */
    List<TomlFields> tables(String path) throws InvalidSettingException {
        Object value = table.get(path);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw InvalidSettingException.invalid(path, "must be a list of tables");
        }
        List<TomlFields> tables = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof UnmodifiableConfig elementTable)) {
                throw InvalidSettingException.invalid(path, "must be a list of tables");
            }
            tables.add(new TomlFields(elementTable));
        }
        return tables;
    }

    /** Returns a non-empty text. */
    String text(String path) throws InvalidSettingException {
        if (!(table.get(path) instanceof String text) || text.isEmpty()) {
            throw InvalidSettingException.invalid(path, "is missing or not a text");
        }
        return text;
    }

    /** Returns a text; null if the field is missing. */
    @Nullable
    String textOrNull(String path) {
        return table.get(path);
    }

    /** Returns a value of any type as text; "null" if the field is missing. */
    String anyAsText(String path) {
        Object value = table.get(path);
        return String.valueOf(value);
    }

    /** Returns the elements of a list as texts; empty if the field is missing or not a list. */
    List<String> textsOrEmpty(String path) {
        return table.get(path) instanceof List<?> list
                ? list.stream().map(String::valueOf).toList()
                : List.of();
    }

    /** Returns an address, written as HOST:PORT. */
    Address address(String path) throws InvalidSettingException {
        String text = text(path);
        return parseAddress(text)
                .orElseThrow(() -> InvalidSettingException.invalid(path, "must be HOST:PORT, not " + text));
    }

    private static Optional<Address> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        int port = portOrZero(text.substring(colon + 1));
        boolean isValid = colon > 0 && port > 0 && port <= MAX_PORT;
        return isValid ? Optional.of(new Address(text.substring(0, colon), port)) : Optional.empty();
    }

    /** Parses a port; returns 0, which is not a valid port, if the text is not a number. */
    private static int portOrZero(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns an address as its text HOST:PORT. */
    String addressText(String path) throws InvalidSettingException {
        address(path);
        return text(path);
    }

    /** Returns a number of at least {@code min}. */
    double number(String path, double min) throws InvalidSettingException {
        if (!(table.get(path) instanceof Number number) || !(number.doubleValue() >= min)) {
            throw InvalidSettingException.invalid(path, "must be a number of at least " + min);
        }
        return number.doubleValue();
    }

    /** Returns a number of at least {@code min}; {@code defaultValue} if the field is missing. */
    double numberIfPresent(String path, double min, double defaultValue) throws InvalidSettingException {
        return has(path) ? number(path, min) : defaultValue;
    }

    /** Returns a number; {@code defaultValue} if the field is missing or not a number. */
    double numberOr(String path, double defaultValue) {
        return table.get(path) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns a non-negative duration in microseconds. The field is in seconds. */
    long micros(String path) throws InvalidSettingException {
        return Units.secondsToMicros(number(path, 0));
    }

    /** Returns a duration in microseconds. The field is in seconds and at least {@link #MIN_POSITIVE_SECONDS}. */
    long positiveMicros(String path) throws InvalidSettingException {
        return Units.secondsToMicros(number(path, MIN_POSITIVE_SECONDS));
    }

    /**
     * Returns a duration in microseconds; {@code defaultMicros} if the field is missing. The field is in seconds and at
     * least {@link #MIN_POSITIVE_SECONDS}.
     */
    long positiveMicrosOr(String path, long defaultMicros) throws InvalidSettingException {
        return has(path) ? positiveMicros(path) : defaultMicros;
    }

    /** Returns an amount in thousandths; 0 if the field is missing or not a number. */
    long thousandthsOrZero(String path) {
        return Math.round(numberOr(path, 0) * THOUSANDTHS_PER_UNIT);
    }
}
