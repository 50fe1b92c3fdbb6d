package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests what a team may use and what it borrows. Each task needs 1 CPU. */
class TeamLimitsTest {
    private static final JobSpec SPEC = Fixtures.spec(JobSpec.Shape.BATCH, false, false);

    private static TeamLimits limits(long cpuGuaranteeMillis, long cpuLimitMillis) {
        return new TeamLimits(Map.of(SPEC.team(), new Team(SPEC.team(), cpuGuaranteeMillis, cpuLimitMillis, 0, 0)));
    }

    @Test
    void unknownTeamHasNoLimit() {
        TeamLimits limits = new TeamLimits(Map.of());
        assertFalse(limits.hasLimit(SPEC));
        assertTrue(limits.allows(SPEC, 1_000_000));
        limits.addTask(SPEC);
        assertEquals(1_000, limits.borrowedCpuMillis(SPEC.team()));
    }

    @Test
    void tasksAreAllowedUpToLimit() {
        TeamLimits limits = limits(0, 3_000);
        assertTrue(limits.hasLimit(SPEC));
        assertTrue(limits.allows(SPEC, 3));
        assertFalse(limits.allows(SPEC, 4));
        limits.addTask(SPEC);
        assertFalse(limits.allows(SPEC, 3));
        limits.removeTask(SPEC);
        assertTrue(limits.allows(SPEC, 3));
    }

    @Test
    void usageWithinGuaranteeIsNotBorrowed() {
        TeamLimits limits = limits(1_500, 0);
        assertFalse(limits.hasLimit(SPEC));
        assertEquals(-1_500, limits.borrowedCpuMillis(SPEC.team()));
        limits.addTask(SPEC);
        limits.addTask(SPEC);
        assertEquals(500, limits.borrowedCpuMillis(SPEC.team()));
    }
}
