package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/**
 * The rules of a state machine as a text table, with a row for each phase and a column for each next phase or event.
 * Tests check the table cell by cell, so that it serves as the specification.
 */
final class RuleTable {
    /** The cell of an event that is refused in a phase. */
    static final String REFUSED = "refused";
    /** The cell of a phase and itself in a table of next phases. Staying in a phase is not a transition. */
    static final String SAME = "=";

    private RuleTable() {}

    /** Returns a test case for each cell: the phase, the column and the cell. Each phase must have a row. */
    static <P extends Enum<P>> Stream<Arguments> cells(Class<P> phases, String table) {
        List<List<String>> lines = table.lines()
                .map(line -> Arrays.asList(line.trim().split("\\s+")))
                .toList();
        List<String> columns = lines.get(0).subList(1, lines.get(0).size());
        assertEquals(
                Arrays.stream(phases.getEnumConstants())
                        .map(phase -> phase.name())
                        .toList(),
                lines.stream().skip(1).map(line -> line.get(0)).collect(Collectors.toList()),
                "the table must have a row for each phase");
        List<Arguments> cases = new ArrayList<>();
        for (List<String> line : lines.subList(1, lines.size())) {
            assertEquals(columns.size() + 1, line.size(), "number of cells in row " + line.get(0));
            for (int i = 0; i < columns.size(); i++) {
                cases.add(
                        Arguments.of(phases.cast(Enum.valueOf(phases, line.get(0))), columns.get(i), line.get(i + 1)));
            }
        }
        return cases.stream();
    }

    /** Returns a test case for each pair of different phases: phase, next phase, and whether the step is allowed. */
    static <P extends Enum<P>> Stream<Arguments> steps(Class<P> phases, String table) {
        List<Arguments> cells = cells(phases, table).toList();
        int count = phases.getEnumConstants().length;
        assertEquals(count * count, cells.size(), "the table must have a cell for each pair of phases");
        List<Arguments> steps = new ArrayList<>();
        for (Arguments cell : cells) {
            P next = Enum.valueOf(phases, (String) cell.get()[1]);
            assertEquals(
                    cell.get()[0] == next,
                    SAME.equals(cell.get()[2]),
                    "only cells of a phase and itself contain " + SAME);
            if (cell.get()[0] != next) {
                steps.add(Arguments.of(cell.get()[0], next, "yes".equals(cell.get()[2])));
            }
        }
        return steps.stream();
    }
}
