package org.granitepath.coordination.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * The result of comparing a worker's latest message with the records: the cleanup commands that the message calls for,
 * and the tasks on which no decision is possible yet. It is valid until the next message is compared.
 */
final class MessageFindings {
    private final List<WorkerCommand> cleanupCommands = new ArrayList<>();
    private final List<WorkerCommand> cleanupCommandsView = Collections.unmodifiableList(cleanupCommands);
    private int unconfirmedTasks;

    /** Returns commands that stop orphaned tasks and clear exited ones, in the order found, as an unmodifiable view. */
    List<WorkerCommand> cleanupCommands() {
        return cleanupCommandsView;
    }

    /** Adds a command that the message calls for. */
    void addCleanupCommand(WorkerCommand command) {
        cleanupCommands.add(command);
    }

    /** Drops the commands. The worker's lease has expired, so the worker has ended its tasks. */
    void clearCleanupCommands() {
        cleanupCommands.clear();
    }

    /** Counts a listed task on which no decision is possible. Such a task must not be cut short. */
    void addUnconfirmedTask() {
        unconfirmedTasks++;
    }

    /** Returns whether the message lists any task on which no decision is possible. */
    boolean hasUnconfirmedTasks() {
        return unconfirmedTasks > 0;
    }

    /** Drops all findings before the next message is compared. */
    void clear() {
        cleanupCommands.clear();
        unconfirmedTasks = 0;
    }
}
