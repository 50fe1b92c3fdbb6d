package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Each cell of the tables that docs/recovery.md prints is what the code decides. */
class VerdictTableTest {
    private static final String LISTED = "| records |";
    private static final String MISSING = "| message of a later agent epoch |";
    private static final List<KnownPlacement> HELD =
            List.of(KnownPlacement.NONE, KnownPlacement.OTHER_ATTEMPT_HERE, KnownPlacement.OTHER_MACHINE);
    private static final int FLAGS = 7;

    private static List<String> page;

    @BeforeAll
    static void read() throws IOException {
        page = Files.readAllLines(Path.of("docs/recovery.md"));
    }

    /** The rows of the table whose head begins so, without head and rule. */
    private static List<List<String>> rows(String head) {
        int at = 0;
        while (!page.get(at).startsWith(head)) {
            at++;
        }
        List<List<String>> rows = new ArrayList<>();
        for (int i = at + 2; page.get(i).startsWith("|"); i++) {
            String line = page.get(i);
            rows.add(Arrays.stream(line.substring(1, line.length() - 1).split("\\|"))
                    .map(String::strip)
                    .toList());
        }
        return rows;
    }

    @Test
    void whatHeartbeatsListIsAsPrinted() {
        List<List<String>> rows = rows(LISTED);
        assertEquals(RecordedTaskState.values().length, rows.size(), "rows");
        for (List<String> row : rows) {
            RecordedTaskState recorded = RecordedTaskState.valueOf(row.get(0));
            for (int held = 0; held < HELD.size(); held++) {
                assertCell(row.get(1 + held), recorded, HELD.get(held), ListedTaskState.LIVE);
                assertCell(row.get(1 + HELD.size()), recorded, HELD.get(held), ListedTaskState.COMPLETED);
                assertCell(row.get(2 + HELD.size()), recorded, HELD.get(held), ListedTaskState.EXITED);
            }
            for (ListedTaskState listed : ListedTaskState.values()) {
                assertCell("CONFIRMED", recorded, KnownPlacement.THIS_ATTEMPT, listed);
            }
        }
    }

    private static void assertCell(
            String cell, RecordedTaskState recorded, KnownPlacement held, ListedTaskState listed) {
        assertEquals(
                Verdict.valueOf(cell),
                VerdictTable.forListedAttempt(recorded, held, listed),
                recorded + ", " + held + ", " + listed);
    }

    @Test
    void whatHeartbeatsDoNotListIsAsPrinted() {
        List<List<String>> rows = rows(MISSING);
        for (int bits = 0; bits < 1 << FLAGS; bits++) {
            boolean[] flags = new boolean[FLAGS];
            for (int i = 0; i < FLAGS; i++) {
                flags[i] = (bits >> i & 1) == 1;
            }
            StartEvidence evidence =
                    new StartEvidence(flags[0], flags[1], flags[2], flags[3], flags[4], flags[5], flags[6]);
            assertEquals(firstMatch(rows, flags), VerdictTable.forMissingAttempt(evidence), evidence.toString());
        }
    }

    private static Verdict firstMatch(List<List<String>> rows, boolean[] flags) {
        for (List<String> row : rows) {
            boolean matches = true;
            for (int i = 0; i < FLAGS; i++) {
                matches &= row.get(i).equals("-") || row.get(i).equals("yes") == flags[i];
            }
            if (matches) {
                return Verdict.valueOf(row.get(FLAGS));
            }
        }
        throw new AssertionError("no row matches " + Arrays.toString(flags));
    }

    @Test
    void whatNoHeartbeatListsIsLostOnlyWhenNoMachineIsLeft() {
        assertEquals(Verdict.UNCONFIRMED, VerdictTable.forUnlistedTask(true));
        assertEquals(Verdict.LOST, VerdictTable.forUnlistedTask(false));
    }
}
