package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.junit.jupiter.api.Test;

/** Tests what is kept of the comparison of a worker's latest message, and until when. */
class MessageFindingsTest {
    private static final WorkerCommand STOP = WorkerCommand.stop(new TaskId("run-1", 0), 3, 0);
    private static final WorkerCommand CLEAR = WorkerCommand.clear(new TaskId("run-1", 1), 4);

    private final MessageFindings findings = new MessageFindings();

    @Test
    void newFindingsAreEmpty() {
        assertEquals(List.of(), findings.cleanupCommands());
        assertFalse(findings.hasUnconfirmedTasks());
    }

    @Test
    void commandsKeepInsertionOrder() {
        findings.addCleanupCommand(STOP);
        findings.addCleanupCommand(CLEAR);
        assertEquals(List.of(STOP, CLEAR), findings.cleanupCommands());
    }

    @Test
    void commandListIsUnmodifiable() {
        assertThrows(
                UnsupportedOperationException.class,
                () -> findings.cleanupCommands().add(STOP));
    }

    @Test
    void clearingCommandsKeepsUnconfirmedTasks() {
        findings.addCleanupCommand(STOP);
        findings.addUnconfirmedTask();
        findings.clearCleanupCommands();
        assertEquals(List.of(), findings.cleanupCommands());
        assertTrue(findings.hasUnconfirmedTasks());
    }

    @Test
    void clearDropsAllFindings() {
        findings.addCleanupCommand(STOP);
        findings.addUnconfirmedTask();
        findings.addUnconfirmedTask();
        findings.clear();
        assertEquals(List.of(), findings.cleanupCommands());
        assertFalse(findings.hasUnconfirmedTasks());
    }
}
