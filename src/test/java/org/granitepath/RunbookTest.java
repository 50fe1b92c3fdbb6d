package org.granitepath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the program can log every log text that the table of symptoms in docs/operations.md quotes. */
class RunbookTest {
    private static final Path PAGE = Path.of("docs/operations.md");
    private static final Path SOURCES = Path.of("src/main/java/org/granitepath");
    private static final String SECTION = "## Symptoms";
    private static final List<String> COLUMNS = List.of("symptom", "look for");

    /** Texts quoted in the table that are not log texts. The program must be able to log every other quoted text. */
    private static final Set<String> OTHER_QUOTED_TEXTS = Set.of(
            // settings, and fields of the platform's configuration file
            "cancel_s",
            "lease_s",
            "report_s",
            "facts.state",
            "facts.state.next",
            "leader-lease-s",
            "recovery-hold-s",
            "deferral-share",
            "max-starvation-s",
            "headroom-share",
            "gang-hold-s",
            "claim-block",
            // paths that an operator requests
            "/up",
            "/metrics",
            "/recovery");

    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");

    @Test
    void everyQuotedLogTextCanBeLogged() throws IOException {
        List<String> quoted = quotedIn(Files.readString(PAGE));
        assertTrue(quoted.size() >= 20, "the table quotes only " + quoted);
        LogTexts logged = LogTexts.in(SOURCES);

        List<String> unlogged = quoted.stream()
                .filter(text -> !OTHER_QUOTED_TEXTS.contains(text))
                .filter(text -> !logged.has(text))
                .toList();

        assertEquals(
                "",
                String.join("\n", unlogged),
                "quoted under \"" + SECTION + "\" of " + PAGE + " as a log text, but no logging call produces it:");
    }

    @Test
    void findsTheQuotedTextsOfBothColumns() {
        String page = """
                ## Before
                | symptom | look for |
                | --- | --- |
                | `not this` | |
                ## Symptoms
                | symptom | what to do | look for |
                | --- | --- | --- |
                | `one` or `two` | `no log` | `three | four` |
                ## After
                | `not this` | | |
                """;
        assertEquals(List.of("one", "two", "three | four"), quotedIn(page));
    }

    /** The texts in backticks in the columns {@link #COLUMNS} of the table, in the table's order. */
    private static List<String> quotedIn(String page) {
        List<String> quoted = new ArrayList<>();
        List<Integer> columns = List.of();
        boolean inSection = false;
        for (String line : page.lines().toList()) {
            if (line.startsWith("#")) {
                inSection = line.strip().equals(SECTION);
            } else if (inSection && line.startsWith("|")) {
                List<String> cells = cellsOf(line);
                if (columns.isEmpty()) {
                    columns = COLUMNS.stream().map(cells::indexOf).toList();
                    assertFalse(columns.contains(-1), "the table has no columns " + COLUMNS + ": " + line);
                }
                columns.stream()
                        .sorted()
                        .forEach(column -> QUOTED.matcher(cells.get(column))
                                .results()
                                .forEach(result -> quoted.add(result.group(1))));
            }
        }
        return quoted;
    }

    private static List<String> cellsOf(String row) {
        List<String> cells = new ArrayList<>();
        StringBuilder cell = new StringBuilder();
        boolean inQuotes = false;
        for (char each : row.strip().substring(1).toCharArray()) {
            inQuotes ^= each == '`';
            if (each == '|' && !inQuotes) {
                cells.add(cell.toString().strip());
                cell.setLength(0);
            } else {
                cell.append(each);
            }
        }
        return cells;
    }
}
