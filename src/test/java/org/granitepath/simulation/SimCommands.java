package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;

/** What controllers command, in order, and whether they may: no machine before its own heartbeat, no start twice. */
final class SimCommands {
    /** A start that was sent, arrived or not. */
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

    /** The leader of this term knows what is on the machine. */
    void recordHeartbeat(long term, String host) {
        heartbeats.add(new HeartbeatInTerm(term, host));
    }

    /** @param term the fencing token of the term in which the controller commands */
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

    /** How many starts this machine was ever sent, arrived or not. */
    int startCount(String host) {
        return startCountsByHost.getOrDefault(host, 0);
    }

    /** The starts sent from this time on, in order. */
    List<Start> startsSince(long micros) {
        return starts.stream().filter(start -> start.sentMicros() >= micros).toList();
    }
}
