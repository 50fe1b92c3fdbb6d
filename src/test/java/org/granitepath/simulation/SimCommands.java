package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * Records the commands that controllers send, in order, and reports a command to a machine of which the leader has had
 * no heartbeat in its term, and a start command that is sent twice for the same attempt.
 */
final class SimCommands {
    /** A start command that was sent, whether it arrived or not. */
    record Start(long sentMicros, String node, String host, TaskId task) {}

    private record HeartbeatInTerm(long term, String host) {}

    private record SentStart(String host, TaskId task, long attempt) {}

    private final SimEnvironment environment;
    private final Rules rules;
    private final List<Start> starts = new ArrayList<>();
    private final Set<SentStart> sentStarts = new HashSet<>();
    private final Map<String, Integer> startCountsByHost = new HashMap<>();
    private final Set<HeartbeatInTerm> heartbeats = new HashSet<>();

    SimCommands(SimEnvironment environment, Rules rules) {
        this.environment = environment;
        this.rules = rules;
    }

    /** Records that the leader of a term has received the state of a machine. */
    void recordHeartbeat(long term, String host) {
        heartbeats.add(new HeartbeatInTerm(term, host));
    }

    /** @param term the fencing token of the term in which the controller sends the commands */
    void recordCommands(long term, String node, String host, List<WorkerCommand> commands) {
        if (!commands.isEmpty() && !heartbeats.contains(new HeartbeatInTerm(term, host))) {
            rules.reportViolation(
                    "commanded_without_heartbeat", node + " commands " + host + ", no heartbeat of it in term " + term);
        }
        for (WorkerCommand command : commands) {
            if (command.verb() == WorkerCommand.Verb.START) {
                recordStart(node, host, command);
            }
        }
    }

    private void recordStart(String node, String host, WorkerCommand command) {
        rules.recordStartSent(command.task());
        starts.add(new Start(environment.nowMicros(), node, host, command.task()));
        startCountsByHost.merge(host, 1, Integer::sum);
        if (!sentStarts.add(new SentStart(host, command.task(), command.attempt()))) {
            rules.reportViolation("start_repeated", command.task() + " attempt " + command.attempt() + " to " + host);
        }
    }

    /** How many start commands were sent to this machine, whether they arrived or not. */
    int startCount(String host) {
        return startCountsByHost.getOrDefault(host, 0);
    }

    /** The start commands that were sent at this time or later, in order. */
    List<Start> startsSince(long micros) {
        return starts.stream().filter(start -> start.sentMicros() >= micros).toList();
    }
}
