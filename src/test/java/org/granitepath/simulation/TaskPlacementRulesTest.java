package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.granitepath.simulation.RulesFixture.ONE_ZONE;
import static org.granitepath.simulation.RulesFixture.SPREAD;

import org.granitepath.coordination.ports.TaskId;
import org.junit.jupiter.api.Test;

/** Planted violations of where tasks may run are noticed. */
class TaskPlacementRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    @Test
    void keptRulesAreNotCalledBroken() {
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.rules().recordTaskRemoved(new TaskId(ANYWHERE, 0), "a");
        fixture.start(ANYWHERE, 0, "b", "z");
        fixture.start(SPREAD, 0, "a", "z");
        fixture.start(SPREAD, 1, "b", "y");

        fixture.assertNoneBroken();
    }

    @Test
    void sameTaskOnTwoMachines() {
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.start(ANYWHERE, 0, "b", "z");

        fixture.assertBroken("ran_twice");
    }

    @Test
    void spotMachineNotAllowed() {
        fixture.rules().recordTaskStarted(new TaskId(ANYWHERE, 0), "a", "m", "z", true);

        fixture.assertBroken("wrong_place");
    }

    @Test
    void spreadJobInOneZone() {
        fixture.start(SPREAD, 0, "a", "z");
        fixture.start(SPREAD, 1, "b", "z");

        fixture.assertBroken("wrong_place");
    }

    @Test
    void oneZoneJobInTwoZones() {
        fixture.start(ONE_ZONE, 0, "a", "z");
        fixture.start(ONE_ZONE, 1, "b", "y");

        fixture.assertBroken("wrong_place");
    }

    @Test
    void teamOverItsLimit() {
        fixture.start(ANYWHERE, 0, "a", "z");
        fixture.start(ANYWHERE, 1, "a", "z");
        fixture.start(ONE_ZONE, 0, "a", "z");
        fixture.assertNoneBroken();

        fixture.start(ONE_ZONE, 1, "a", "z");

        fixture.assertBroken("quota");
    }
}
