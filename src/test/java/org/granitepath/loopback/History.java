package org.granitepath.loopback;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What happened on all machines, in one order, and what of it must not happen. */
final class History {
    /** What happened to a task. */
    enum Kind {
        START_COMMANDED,
        BEGUN,
        COMPLETED,
        LEFT
    }

    /** One event. */
    record Event(Kind kind, String host, String task, long attempt) {
        String job() {
            return jobOf(task);
        }
    }

    private record ReceivedStart(String host, long agentEpoch, String task, long attempt) {}

    private final List<Event> events = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Set<ReceivedStart> receivedStarts = new HashSet<>();
    /** The machine on which each task runs. */
    private final Map<String, String> hostsOfTasks = new HashMap<>();

    private final Set<String> completed = new HashSet<>();

    /** The job of a task, by the task's name. */
    static String jobOf(String task) {
        return task.substring(0, task.lastIndexOf('/'));
    }

    /** A worker takes a start in: at most once for each attempt in an agent epoch. */
    synchronized void startCommanded(String host, long agentEpoch, String task, long attempt) {
        if (!receivedStarts.add(new ReceivedStart(host, agentEpoch, task, attempt))) {
            violations.add("commanded to start twice: " + task + " attempt " + attempt + " on " + host);
        }
        add(new Event(Kind.START_COMMANDED, host, task, attempt));
    }

    /** A task runs on a machine now: on no other at the same time. */
    synchronized void begun(String host, String task, long attempt) {
        String other = hostsOfTasks.put(task, host);
        if (other != null) {
            violations.add("runs twice: " + task + " on " + other + " and " + host);
        }
        add(new Event(Kind.BEGUN, host, task, attempt));
    }

    /** A task no longer runs on a machine. */
    synchronized void left(String host, String task, long attempt, boolean done) {
        hostsOfTasks.remove(task, host);
        if (done) {
            completed.add(task);
        }
        add(new Event(done ? Kind.COMPLETED : Kind.LEFT, host, task, attempt));
    }

    private void add(Event event) {
        events.add(event);
        notifyAll();
    }

    /** How many events there have been; see {@link #since}. */
    synchronized int position() {
        return events.size();
    }

    /** The events from a position on, in order. */
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
