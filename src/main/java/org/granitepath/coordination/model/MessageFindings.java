package org.granitepath.coordination.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * What the comparison of a worker's latest message with the records has found: commands that the message calls for, and
 * tasks that nothing can be decided about. It holds until the next message is compared.
 */
final class MessageFindings {
    private final List<WorkerCommand> cleanupCommands = new ArrayList<>();
    private final List<WorkerCommand> cleanupCommandsView = Collections.unmodifiableList(cleanupCommands);
    private int unconfirmedTasks;

    /** Stops of orphaned tasks, and the clearing of exited ones, in the order in which they were found. */
    List<WorkerCommand> cleanupCommands() {
        return cleanupCommandsView;
    }

    /** The message calls for this command. */
    void addCleanupCommand(WorkerCommand command) {
        cleanupCommands.add(command);
    }

    /** The worker's lease is over, so that it has ended its tasks: the commands are void. */
    void clearCleanupCommands() {
        cleanupCommands.clear();
    }

    /** The message lists a task of which nothing can be decided: it may not be cut short. */
    void addUnconfirmedTask() {
        unconfirmedTasks++;
    }

    /** Whether the message lists any task of which nothing can be decided. */
    boolean hasUnconfirmedTasks() {
        return unconfirmedTasks > 0;
    }

    /** The next message is about to be compared. */
    void clear() {
        cleanupCommands.clear();
        unconfirmedTasks = 0;
    }
}
