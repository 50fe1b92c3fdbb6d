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
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.rules().left(new TaskId(ANYWHERE, 0), "a");
        fixture.start(ANYWHERE, 0, "b", "z");
        fixture.start(SPREAD, 0, "a", "z");
        fixture.start(SPREAD, 1, "b", "y");

        fixture.assertNoneBroken();
    }

    @Test
    void sameTaskOnTwoMachinesIsReported() {
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.start(ANYWHERE, 0, "b", "z");

        fixture.assertBroken("ran_twice");
    }

    @Test
    void forbiddenSpotMachineIsReported() {
        fixture.rules().started(new TaskId(ANYWHERE, 0), "a", "m", "z", true);

        fixture.assertBroken("wrong_place");
    }

    @Test
    void spreadJobInOneZoneIsReported() {
        fixture.start(SPREAD, 0, "a", "z");
        fixture.start(SPREAD, 1, "b", "z");

        fixture.assertBroken("wrong_place");
    }

    @Test
    void oneZoneJobInTwoZonesIsReported() {
        fixture.start(ONE_ZONE, 0, "a", "z");
        fixture.start(ONE_ZONE, 1, "b", "y");

        fixture.assertBroken("wrong_place");
    }

    @Test
    void teamOverItsLimitIsReported() {
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.start(ANYWHERE, 1, "a", "z");
        fixture.start(ONE_ZONE, 0, "a", "z");
        fixture.assertNoneBroken();

        fixture.start(ONE_ZONE, 1, "a", "z");

        fixture.assertBroken("quota");
    }
}
