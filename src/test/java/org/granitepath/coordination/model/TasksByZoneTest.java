package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests in which zones the tasks of a job are placed and one more may be placed. */
class TasksByZoneTest {
    private static final JobSpec ONE_ZONE = Fixtures.spec(JobSpec.Shape.GANG, true, false);
    private static final JobSpec SPREAD = Fixtures.spec(JobSpec.Shape.SERVICE, false, true);

    private static TasksByZone tasksByZone(JobSpec spec, String... zones) {
        TasksByZone tasks = new TasksByZone(spec);
        for (String zone : zones) {
            tasks.add(zone);
        }
        return tasks;
    }

    @Test
    void tasksAreCountedByZone() {
        TasksByZone tasks = tasksByZone(SPREAD, "north", "south", "north");
        tasks.remove("south");
        assertEquals(Map.of("north", 2, "south", 0), tasks.asMap());
    }

    @Test
    void mapIsUnmodifiable() {
        Map<String, Integer> view = tasksByZone(SPREAD).asMap();
        assertThrows(UnsupportedOperationException.class, () -> view.put("north", 1));
    }

    @Test
    void jobWithoutZoneRulesMayUseAnyZone() {
        TasksByZone tasks = tasksByZone(Fixtures.spec(JobSpec.Shape.BATCH, false, false), "south");
        assertTrue(tasks.canPlaceInZone("north", 1_000));
    }

    @Test
    void oneZoneJobIsBoundToZoneWhileTaskIsPlacedThere() {
        TasksByZone tasks = tasksByZone(ONE_ZONE, "south");
        assertTrue(tasks.canPlaceInZone("south", 0));
        assertFalse(tasks.canPlaceInZone("north", 0));
        tasks.remove("south");
        assertTrue(tasks.canPlaceInZone("north", 0));
    }

    @Test
    void oneZoneJobCannotBePlacedWhileTaskIsUnconfirmed() {
        assertTrue(tasksByZone(ONE_ZONE).canPlaceInZone("north", 0));
        assertFalse(tasksByZone(ONE_ZONE).canPlaceInZone("north", 1));
    }

    @Test
    void spreadJobMayUseZoneUpToItsCap() {
        TasksByZone tasks = tasksByZone(SPREAD);
        for (int placed = 0; placed < SPREAD.maxTasksPerZone(); placed++) {
            assertTrue(tasks.canPlaceInZone("north", 0), placed + " placed");
            tasks.add("north");
        }
        assertFalse(tasks.canPlaceInZone("north", 0));
        assertTrue(tasks.canPlaceInZone("south", 0));
    }

    @Test
    void unconfirmedTasksCountInEveryZone() {
        assertTrue(tasksByZone(SPREAD).canPlaceInZone("north", SPREAD.maxTasksPerZone() - 1));
        assertFalse(tasksByZone(SPREAD).canPlaceInZone("north", SPREAD.maxTasksPerZone()));
    }
}
