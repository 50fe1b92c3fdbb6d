package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.junit.jupiter.api.Test;

/** Tests that {@link SimCommands} reports commands that a controller may not send. */
class SimCommandsTest {
    private final RulesFixture fixture = new RulesFixture();
    private final Rules rules = fixture.rules();

    @Test
    void commandsBeforeHeartbeatAndRepeatedStartsAreReported() {
        SimCommands commands = new SimCommands(fixture.environment(), rules);
        List<WorkerCommand> start = List.of(WorkerCommand.start(new TaskId(RulesFixture.ANYWHERE, 0), 5));

        commands.recordCommands(1, "n0", "a", List.of());
        assertEquals(List.of(), rules.violations());

        commands.recordCommands(1, "n0", "a", start);
        assertTrue(
                rules.violations().get(0).startsWith("commanded_without_heartbeat"),
                rules.violations().toString());

        commands.recordHeartbeat(2, "a");
        commands.recordCommands(2, "n0", "a", start);
        assertTrue(
                rules.violations().get(1).startsWith("start_repeated"),
                rules.violations().toString());
        assertEquals(2, rules.violations().size());
    }
}
