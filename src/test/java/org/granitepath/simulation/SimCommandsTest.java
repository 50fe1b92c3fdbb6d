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
        SimCommands commands = new SimCommands(fixture.world(), rules);
        List<WorkerCommand> start = List.of(WorkerCommand.start(new TaskId(RulesFixture.ANYWHERE, 0), 5));

        commands.sent(1, "n0", "a", List.of());
        assertEquals(List.of(), rules.broken());

        commands.sent(1, "n0", "a", start);
        assertTrue(
                rules.broken().get(0).startsWith("commanded_without_heartbeat"),
                rules.broken().toString());

        commands.heartbeatReceived(2, "a");
        commands.sent(2, "n0", "a", start);
        assertTrue(
                rules.broken().get(1).startsWith("start_repeated"),
                rules.broken().toString());
        assertEquals(2, rules.broken().size());
    }
}
