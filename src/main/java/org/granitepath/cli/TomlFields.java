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
 * Typed fields of a TOML table. A field is named by its path from the table, with dots; a field that is missing or of
 * another kind is reported by that path.
 */
final class TomlFields {
    private static final double MIN_POSITIVE_SECONDS = 0.001;
    private static final int THOUSANDTHS_PER_UNIT = 1000;
    private static final int MAX_PORT = 65_535;

    private final UnmodifiableConfig table;

    private TomlFields(UnmodifiableConfig table) {
        this.table = table;
    }

    /** Reads the file's fields. */
    static TomlFields parse(Path file) throws InvalidSettingException {
        try {
            return new TomlFields(new TomlParser().parse(Files.readString(file)));
        } catch (IOException e) {
            throw InvalidSettingException.unreadable(file, e);
        } catch (ParsingException e) {
            throw InvalidSettingException.malformed(file, "TOML", e);
        }
    }

    /** Whether there is such a field, of whatever kind. */
    boolean has(String path) {
        return table.get(path) != null;
    }

    /** Whether the field is a table. */
    boolean isTable(String path) {
        return table.get(path) instanceof UnmodifiableConfig;
    }

    /** A list of tables; empty if it is missing. */
    List<TomlFields> tables(String path) throws InvalidSettingException {
        Object value = table.get(path);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw InvalidSettingException.wrong(path, "must be a list of tables");
        }
        List<TomlFields> tables = new ArrayList<>();
        for (Object element : list) {
            if (!(element instanceof UnmodifiableConfig elementTable)) {
                throw InvalidSettingException.wrong(path, "must be a list of tables");
            }
            tables.add(new TomlFields(elementTable));
        }
        return tables;
    }

    /** A text that is not empty. */
    String text(String path) throws InvalidSettingException {
        if (!(table.get(path) instanceof String text) || text.isEmpty()) {
            throw InvalidSettingException.wrong(path, "is missing or not a text");
        }
        return text;
    }

    /** A text; null if it is missing. */
    @Nullable
    String textOrNull(String path) {
        return table.get(path);
    }

    /** Whatever the field holds, as a text; "null" if it is missing. */
    String anyAsText(String path) {
        Object value = table.get(path);
        return String.valueOf(value);
    }

    /** The elements of a list as texts; empty if it is missing or no list. */
    List<String> textsOrNone(String path) {
        return table.get(path) instanceof List<?> list
                ? list.stream().map(String::valueOf).toList()
                : List.of();
    }

    /** A HOST:PORT. */
    Address address(String path) throws InvalidSettingException {
        String text = text(path);
        return hostAndPort(text)
                .orElseThrow(() -> InvalidSettingException.wrong(path, "must be HOST:PORT, not " + text));
    }

    private static Optional<Address> hostAndPort(String text) {
        int colon = text.lastIndexOf(':');
        int port = portOrZero(text.substring(colon + 1));
        boolean usable = colon > 0 && port > 0 && port <= MAX_PORT;
        return usable ? Optional.of(new Address(text.substring(0, colon), port)) : Optional.empty();
    }

    /** 0, which is no port to call or to listen on, when it is no number. */
    private static int portOrZero(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** A HOST:PORT as it is written. */
    String addressText(String path) throws InvalidSettingException {
        address(path);
        return text(path);
    }

    /** A number that is not less than the least. */
    double number(String path, double least) throws InvalidSettingException {
        if (!(table.get(path) instanceof Number number) || !(number.doubleValue() >= least)) {
            throw InvalidSettingException.wrong(path, "must be a number of at least " + least);
        }
        return number.doubleValue();
    }

    /** A number that is not less than the least; {@code otherwise} if it is missing. */
    double numberIfPresent(String path, double least, double otherwise) throws InvalidSettingException {
        return has(path) ? number(path, least) : otherwise;
    }

    /** A number; {@code otherwise} if it is missing or no number. */
    double numberOr(String path, double otherwise) {
        return table.get(path) instanceof Number number ? number.doubleValue() : otherwise;
    }

    /** A time in seconds, which may be zero. */
    long micros(String path) throws InvalidSettingException {
        return Units.secondsToMicros(number(path, 0));
    }

    /** A time in seconds, which is more than zero. */
    long positiveMicros(String path) throws InvalidSettingException {
        return Units.secondsToMicros(number(path, MIN_POSITIVE_SECONDS));
    }

    /** A time in seconds, which is more than zero; {@code otherwise} if it is missing. */
    long positiveMicrosOr(String path, long otherwise) throws InvalidSettingException {
        return has(path) ? positiveMicros(path) : otherwise;
    }

    /** An amount in thousandths; 0 if it is missing or no number. */
    long thousandthsOrZero(String path) {
        return Math.round(numberOr(path, 0) * THOUSANDTHS_PER_UNIT);
    }
}
