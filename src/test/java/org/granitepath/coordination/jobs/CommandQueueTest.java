package org.granitepath.coordination.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** The machines for which commands are due. */
class CommandQueueTest {
    private final Machine first = Fixtures.machine("i-1", "north");
    private final Machine second = Fixtures.machine("i-2", "north");
    private int requests;
    private final CommandQueue commands = new CommandQueue(() -> requests++);

    @Test
    void machinesComeOnceAndInTheOrderInWhichTheyCame() {
        commands.enqueue(second);
        commands.enqueue(first);
        commands.enqueue(second);
        assertEquals(List.of(second, first), commands.machines());
        assertEquals(3, requests, "each asks for the commands to be sent");
        commands.remove(second);
        assertEquals(List.of(first), commands.machines());
    }

    @Test
    void theListMayBeWalkedWhileCommandsComeAndGo() {
        commands.enqueue(first);
        commands.enqueue(second);
        for (Machine machine : commands.machines()) {
            commands.remove(machine);
        }
        assertEquals(List.of(), commands.machines());
    }
}
