package org.granitepath.loopback;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The events of tasks on all machines, in one order, and the violations found among them. */
final class History {
    /** Kinds of task events. */
    enum Kind {
        START_RECEIVED,
        STARTED,
        COMPLETED,
        STOPPED
    }

    /** An event of a task's attempt on a machine. */
    record Event(Kind kind, String host, String task, long attempt) {
        String job() {
            return jobOf(task);
        }
    }

    private record ReceivedStart(String host, long agentEpoch, String task, long attempt) {}

    private final List<Event> events = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Set<ReceivedStart> receivedStarts = new HashSet<>();
    /** The machine on which each running task runs. */
    private final Map<String, String> hostsOfTasks = new HashMap<>();

    private final Set<String> completed = new HashSet<>();

    /** The job that a task belongs to, taken from the task's name. */
    static String jobOf(String task) {
        return task.substring(0, task.lastIndexOf('/'));
    }

    /** Records that a worker received a start command, which it may receive once for each attempt and agent epoch. */
    synchronized void startReceived(String host, long agentEpoch, String task, long attempt) {
        if (!receivedStarts.add(new ReceivedStart(host, agentEpoch, task, attempt))) {
            violations.add("commanded to start twice: " + task + " attempt " + attempt + " on " + host);
        }
        add(new Event(Kind.START_RECEIVED, host, task, attempt));
    }

    /** Records that a task started on a machine. It may not run on another one at the same time. */
    synchronized void started(String host, String task, long attempt) {
        String other = hostsOfTasks.put(task, host);
        if (other != null) {
            violations.add("runs twice: " + task + " on " + other + " and " + host);
        }
        add(new Event(Kind.STARTED, host, task, attempt));
    }

    /** Records that a task no longer runs on a machine. */
    synchronized void ended(String host, String task, long attempt, boolean hasCompleted) {
        hostsOfTasks.remove(task, host);
        if (hasCompleted) {
            completed.add(task);
        }
        add(new Event(hasCompleted ? Kind.COMPLETED : Kind.STOPPED, host, task, attempt));
    }

    private void add(Event event) {
        events.add(event);
        notifyAll();
    }

    /** The number of events so far, as an argument for {@link #since}. */
    synchronized int position() {
        return events.size();
    }

    /** The events from this position on, in order. */
    synchronized List<Event> since(int position) {
        return List.copyOf(events.subList(position, events.size()));
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized boolean wasCompleted(String task) {
        return completed.contains(task);
    }

    synchronized long running(Predicate<String> jobs) {
        return hostsOfTasks.keySet().stream()
                .filter(task -> jobs.test(jobOf(task)))
                .count();
    }

    synchronized long completed(Predicate<String> jobs) {
        return completed.stream().filter(task -> jobs.test(jobOf(task))).count();
    }
}
