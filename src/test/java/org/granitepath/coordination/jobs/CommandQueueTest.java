package org.granitepath.coordination.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests the queue of machines that have commands to be sent. */
class CommandQueueTest {
    private final Machine first = Fixtures.machine("i-1", "north");
    private final Machine second = Fixtures.machine("i-2", "north");
    private int requests;
    private final CommandQueue commands = new CommandQueue(() -> requests++);

    @Test
    void machinesAreListedOnceInInsertionOrder() {
        commands.enqueue(second);
        commands.enqueue(first);
        commands.enqueue(second);
        assertEquals(List.of(second, first), commands.machines());
        assertEquals(3, requests, "each call requests a send");
        commands.remove(second);
        assertEquals(List.of(first), commands.machines());
    }

    @Test
    void listMayBeIteratedWhileMachinesAreRemoved() {
        commands.enqueue(first);
        commands.enqueue(second);
        for (Machine machine : commands.machines()) {
            commands.remove(machine);
        }
        assertEquals(List.of(), commands.machines());
    }
}
