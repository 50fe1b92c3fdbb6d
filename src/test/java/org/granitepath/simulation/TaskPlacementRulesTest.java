package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.granitepath.simulation.RulesFixture.ONE_ZONE;
import static org.granitepath.simulation.RulesFixture.SPREAD;

import org.granitepath.coordination.ports.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that {@link TaskPlacementRules} reports tasks on machines where they may not run. */
class TaskPlacementRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    @Test
    void validPlacementsAreNotReported() {
        fixture.startTask(ANYWHERE, 0, "a", "z");
        fixture.rules().recordTaskRemoved(new TaskId(ANYWHERE, 0), "a");
        fixture.startTask(ANYWHERE, 0, "b", "z");
        fixture.startTask(SPREAD, 0, "a", "z");
        fixture.startTask(SPREAD, 1, "b", "y");

        fixture.assertNoViolations();
    }

    @Test
    void sameTaskOnTwoMachinesIsReported() {
        fixture.startTask(ANYWHERE, 0, "a", "z");
        fixture.startTask(ANYWHERE, 0, "b", "z");

        fixture.assertViolation("ran_twice");
    }

    @Test
    void forbiddenSpotMachineIsReported() {
        fixture.rules().recordTaskStarted(new TaskId(ANYWHERE, 0), "a", "m", "z", true);

        fixture.assertViolation("wrong_place");
    }

    @Test
    void spreadJobInOneZoneIsReported() {
        fixture.startTask(SPREAD, 0, "a", "z");
        fixture.startTask(SPREAD, 1, "b", "z");

        fixture.assertViolation("wrong_place");
    }

    @Test
    void oneZoneJobInTwoZonesIsReported() {
        fixture.startTask(ONE_ZONE, 0, "a", "z");
        fixture.startTask(ONE_ZONE, 1, "b", "y");

        fixture.assertViolation("wrong_place");
    }

    @Test
    void teamOverItsLimitIsReported() {
        fixture.startTask(ANYWHERE, 0, "a", "z");
        fixture.startTask(ANYWHERE, 1, "a", "z");
        fixture.startTask(ONE_ZONE, 0, "a", "z");
        fixture.assertNoViolations();

        fixture.startTask(ONE_ZONE, 1, "a", "z");

        fixture.assertViolation("quota");
    }
}
