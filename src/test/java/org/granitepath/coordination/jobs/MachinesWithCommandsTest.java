package org.granitepath.coordination.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests the set of machines that have commands to be sent. */
class MachinesWithCommandsTest {
    private final Machine first = Fixtures.machine("i-1", "north");
    private final Machine second = Fixtures.machine("i-2", "north");
    private int requests;
    private final MachinesWithCommands machinesWithCommands = new MachinesWithCommands(() -> requests++);

    @Test
    void machinesAreListedOnceInInsertionOrder() {
        machinesWithCommands.enqueue(second);
        machinesWithCommands.enqueue(first);
        machinesWithCommands.enqueue(second);
        assertEquals(List.of(second, first), machinesWithCommands.machines());
        assertEquals(3, requests, "each call requests a send");
        machinesWithCommands.remove(second);
        assertEquals(List.of(first), machinesWithCommands.machines());
    }

    @Test
    void listMayBeIteratedWhileMachinesAreRemoved() {
        machinesWithCommands.enqueue(first);
        machinesWithCommands.enqueue(second);
        for (Machine machine : machinesWithCommands.machines()) {
            machinesWithCommands.remove(machine);
        }
        assertEquals(List.of(), machinesWithCommands.machines());
    }
}
