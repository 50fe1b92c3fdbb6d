package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;

/** The users' rules, checked from what happens on machines and what users are told. */
final class Rules {
    private static final long UNANSWERED_MICROS = 75_000_000;
    private static final long BEGIN_MICROS = 240_000_000;
    private static final long NEGLECTED_MICROS = 90_000_000;

    private record Where(String host, String zone) {}

    private final World world;
    private final Map<String, Team> teams;
    private final long cancelMicros;
    final List<String> broken = new ArrayList<>();
    private final Map<String, JobSpec> submitted = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, JobState> toldFinal = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final Map<String, Long> cancelTold = new TreeMap<>();
    private final Map<TaskId, Where> on = new HashMap<>();
    private final Map<String, Set<Integer>> completed = new HashMap<>();
    private final Map<String, Long> submittedAt = new LinkedHashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Long> begunAt = new HashMap<>();
    private final Map<String, Long> completedAt = new HashMap<>();
    private final Map<String, Long> commandedAt = new HashMap<>();
    private final Map<TaskId, Integer> startsSent = new HashMap<>();
    private final Map<String, Long> couldRunSince = new HashMap<>();
    private final Set<String> unschedulable = new HashSet<>();
    private final Consumer<String> lastTaskDone;
    int starts;

    Rules(World world, Map<String, Team> teams, long cancelMicros) {
        this(world, teams, cancelMicros, job -> {});
    }

    /** @param lastTaskDone told of each job whose last task has just completed */
    Rules(World world, Map<String, Team> teams, long cancelMicros, Consumer<String> lastTaskDone) {
        this.lastTaskDone = lastTaskDone;
        this.world = world;
        this.teams = teams;
        this.cancelMicros = cancelMicros;
    }

    /** A rule is broken. */
    void breach(String rule, String what) {
        broken.add(rule + " at " + world.now() / 1e6 + " s: " + what);
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    /** A task is on a machine now. */
    void started(TaskId task, String host, String type, String zone, boolean spot) {
        starts++;
        begunAt.putIfAbsent(task.job(), world.now());
        JobSpec spec = submitted.get(task.job());
        Where other = on.get(task);
        if (other != null) {
            breach("ran_twice", task + " starts on " + host + " while on " + other.host());
        }
        on.put(task, new Where(host, zone));
        if (!spec.allowsType(type) || !spec.allowsZone(zone) || (spot && !spec.spot())) {
            breach("wrong_place", task + " on " + type + " " + zone + (spot ? " spot" : ""));
        }
        int here = 0;
        boolean elsewhere = false;
        long cpu = 0;
        long gpu = 0;
        for (var entry : on.entrySet()) {
            JobSpec running = submitted.get(entry.getKey().job());
            if (running.team().equals(spec.team())) {
                cpu += running.cpuMillis();
                gpu += running.gpuMillis();
            }
            if (entry.getKey().job().equals(task.job())) {
                here += entry.getValue().zone().equals(zone) ? 1 : 0;
                elsewhere |= !entry.getValue().zone().equals(zone);
            }
        }
        if ((spec.spread() && here > spec.zoneCap()) || (spec.oneZone() && elsewhere)) {
            breach("wrong_place", task + ": " + here + " of its job in " + zone);
        }
        Team team = teams.get(spec.team());
        if ((team.cpuLimit() > 0 && cpu > team.cpuLimit()) || (team.gpuLimit() > 0 && gpu > team.gpuLimit())) {
            breach("quota", "team " + spec.team() + " uses " + cpu + " and " + gpu);
        }
        Long told = cancelTold.get(task.job());
        if (told != null && world.now() > told + cancelMicros) {
            breach("ran_cancelled", task + " starts");
        }
    }

    /** A task is no longer on the machine. */
    void left(TaskId task, String host) {
        Where where = on.get(task);
        if (where != null && where.host().equals(host)) {
            on.remove(task);
        }
    }

    /** A task has its result. */
    void completed(TaskId task) {
        completedAt.put(task.job(), world.now());
        Set<Integer> done = completed.computeIfAbsent(task.job(), job -> new HashSet<>());
        if (done.add(task.index()) && done.size() == submitted.get(task.job()).tasks()) {
            lastTaskDone.accept(task.job());
        }
    }

    /** How often the task that was started most often was. */
    int mostStartsOfATask() {
        return startsSent.values().stream().max(Integer::compare).orElse(0);
    }

    /** A controller gives the command to start this task. */
    void commandSent(TaskId task) {
        startsSent.merge(task, 1, Integer::sum);
        commandedAt.put(task.job(), world.now());
        if (toldFinal.get(task.job()) == JobState.CANCELLED) {
            breach("started_cancelled", "a start of " + task + " is sent after the cancellation was confirmed");
        }
    }

    /** Jobs with a task on a machine, that nobody has cancelled. */
    List<String> running() {
        return on.keySet().stream()
                .map(TaskId::job)
                .filter(job -> !cancelAsked.contains(job))
                .distinct()
                .sorted()
                .toList();
    }

    /** CPUs that a team's tasks use. */
    long usedBy(String team) {
        return on.keySet().stream()
                .map(task -> submitted.get(task.job()))
                .filter(job -> job.team().equals(team))
                .mapToLong(JobSpec::cpuMillis)
                .sum();
    }

    /** The machines that hold tasks of a job. */
    Set<String> hostsOf(String job) {
        Set<String> hosts = new TreeSet<>();
        on.forEach((task, where) -> {
            if (task.job().equals(job)) {
                hosts.add(where.host());
            }
        });
        return hosts;
    }

    /** Jobs of which users were told that they are cancelled, so far. */
    int cancellationsTold() {
        return (int) toldFinal.values().stream()
                .filter(state -> state == JobState.CANCELLED)
                .count();
    }

    /** After each step: nothing of a cancelled job may be left when its time is over. */
    void check() {
        if (cancelTold.isEmpty()) {
            return;
        }
        for (TaskId task : on.keySet()) {
            Long told = cancelTold.get(task.job());
            if (told != null && world.now() > told + cancelMicros) {
                breach("ran_cancelled", task + " is still on " + on.get(task).host());
            }
        }
        cancelTold.values().removeIf(told -> world.now() > told + cancelMicros + 120_000_000);
    }

    // ---- at the end of a day ---------------------------------------------------------------------------------

    /** Once troubles are over, no accepted job that was not cancelled may go without any answer for so long. */
    void checkKnown(long troublesOver) {
        for (String job : accepted) {
            long since = world.now() - Math.max(troublesOver, answeredAt.getOrDefault(job, 0L));
            if (!cancelAsked.contains(job) && since > UNANSWERED_MICROS) {
                breach("forgotten", job + ": no question answered for " + since / 1_000_000 + " s");
            }
        }
    }

    /**
     * Once troubles are over, no job may be left waiting for so long while a machine would take one of its tasks and
     * its team is under its limit. Called again and again; whoever is given a start begins to wait anew.
     */
    void checkWaiting(Collection<SimWorker> machines) {
        Held held = held(machines);
        for (String job : accepted) {
            JobSpec spec = submitted.get(job);
            int left = spec.tasks() - completed.getOrDefault(job, Set.of()).size() - held.tasks.getOrDefault(job, 0);
            long limit = teams.get(spec.team()).cpuLimit();
            boolean could = left > 0
                    && (!spec.gang() || wholeGangFits(spec, left, held.tasks.getOrDefault(job, 0), machines))
                    && !cancelAsked.contains(job)
                    && toldFinal.get(job) == null
                    && (limit == 0 || held.teamCpu.getOrDefault(spec.team(), 0L) + needed(spec) <= limit)
                    && machines.stream()
                            .anyMatch(machine -> machine.wouldTake(spec)
                                    && (!spec.oneZone()
                                            || Set.of(machine.zone).containsAll(held.zones.getOrDefault(job, Set.of())))
                                    && (!spec.spread()
                                            || held.inZone.getOrDefault(job + machine.zone, 0) < spec.zoneCap()));
            if (!could) {
                couldRunSince.remove(job);
                continue;
            }
            long since = Math.max(
                    couldRunSince.computeIfAbsent(job, unknown -> world.now()), commandedAt.getOrDefault(job, 0L));
            if (world.now() - since > NEGLECTED_MICROS) {
                breach(
                        "neglected",
                        job + " of team " + spec.team() + " waits with " + left + " tasks while a machine has room");
            }
        }
    }

    /** What machines hold: tasks by job, a job's zones, tasks by job and zone, and CPUs by team. */
    private record Held(
            Map<String, Integer> tasks,
            Map<String, Set<String>> zones,
            Map<String, Integer> inZone,
            Map<String, Long> teamCpu) {}

    private Held held(Collection<SimWorker> machines) {
        Held held = new Held(new HashMap<>(), new HashMap<>(), new HashMap<>(), new HashMap<>());
        for (SimWorker machine : machines) {
            machine.runs().held().forEach((job, count) -> {
                JobSpec spec = submitted.get(job);
                held.tasks.merge(job, count, Integer::sum);
                held.zones.computeIfAbsent(job, unknown -> new HashSet<>()).add(machine.zone);
                held.inZone.merge(job + machine.zone, count, Integer::sum);
                held.teamCpu.merge(spec.team(), count * spec.cpuMillis(), Long::sum);
            });
        }
        return held;
    }

    /** What starting more of the job takes of its team's limit, at least. */
    private static long needed(JobSpec spec) {
        return spec.cpuMillis() * (spec.gang() ? spec.tasks() : 1);
    }

    /** Whether no task of the gang is on a machine, and all would find capacity, in one zone if they have to. */
    private static boolean wholeGangFits(JobSpec spec, int left, int held, Collection<SimWorker> machines) {
        Map<String, Integer> slots = new HashMap<>();
        machines.forEach(
                machine -> slots.merge(spec.oneZone() ? machine.zone : "any", machine.slots(spec), Integer::sum));
        return held == 0 && slots.values().stream().anyMatch(count -> count >= left);
    }

    /**
     * At least half of each class, of each team and of a class's largest jobs is served, and the largest begin in time.
     * A service is served when its tasks have run; other work when it is done.
     */
    void checkServed() {
        Map<String, List<JobSpec>> groups = new TreeMap<>();
        for (String id : submittedAt.keySet()) {
            JobSpec spec = submitted.get(id);
            if ((accepted.contains(id) && !cancelAsked.contains(id)) || (spec.service() && begunAt.containsKey(id))) {
                groups.computeIfAbsent("class " + spec.jobClass(), unknown -> new ArrayList<>())
                        .add(spec);
                groups.computeIfAbsent("team " + spec.team(), unknown -> new ArrayList<>())
                        .add(spec);
            }
        }
        for (String name : List.copyOf(groups.keySet())) {
            if (name.startsWith("class ")) {
                List<JobSpec> largest = new ArrayList<>(groups.get(name));
                largest.sort(Comparator.comparingInt(JobSpec::tasks).reversed());
                groups.put("largest of " + name, largest.subList(0, (largest.size() + 3) / 4));
            }
        }
        groups.forEach((name, list) -> {
            long served = list.stream()
                    .filter(spec -> spec.service()
                            ? begunAt.containsKey(spec.id())
                            : completed.getOrDefault(spec.id(), Set.of()).size() == spec.tasks())
                    .count();
            if (served * 2 < list.size()) {
                breach("unserved", name + ": " + served + " of " + list.size());
            }
            for (JobSpec spec : name.startsWith("largest") ? list : List.<JobSpec>of()) {
                long waited = begunAt.getOrDefault(spec.id(), world.now()) - submittedAt.get(spec.id());
                if (waited > BEGIN_MICROS) {
                    breach("unserved", name + ": " + spec.id() + " begins after " + waited / 1_000_000 + " s");
                }
            }
        });
    }

    // ---- users -------------------------------------------------------------------------------------------------

    void submitting(JobSpec spec) {
        submitted.putIfAbsent(spec.id(), spec);
        submittedAt.putIfAbsent(spec.id(), world.now());
    }

    /** A job that fits nowhere: nobody may accept it. */
    void submittingUnschedulable(String job) {
        unschedulable.add(job);
    }

    /** A user asks to cancel the job, maybe in vain so far. */
    void cancelling(String job) {
        cancelAsked.add(job);
    }

    boolean acceptedJob(String job) {
        return accepted.contains(job);
    }

    /** Tasks that are on a machine. */
    long tasksUp() {
        return on.size();
    }

    /** Tasks of services that are on a machine. */
    long replicasUp() {
        return on.keySet().stream()
                .filter(task -> submitted.get(task.job()).service())
                .count();
    }

    /** From submission to the last task that completed so far. */
    long finishedAfter(String job) {
        return completedAt.getOrDefault(job, Long.MAX_VALUE / 2) - submittedAt.get(job);
    }

    /** From submission to the first task's start. */
    long begunAfter(String job) {
        return begunAt.getOrDefault(job, Long.MAX_VALUE / 2) - submittedAt.get(job);
    }

    JobState finalTold(String job) {
        return toldFinal.get(job);
    }

    /** An answer that a user got, by its time of arrival; asked after every earlier answer had arrived. */
    void told(String job, JobResponse answer) {
        if (answer instanceof JobResponse.NotFound && accepted.contains(job)) {
            breach("forgotten", job + " is not found");
        } else if (answer instanceof JobResponse.Unschedulable && accepted.contains(job)) {
            breach("forgotten", job + " is called impossible");
        } else if (answer instanceof JobResponse.Status status) {
            if (unschedulable.contains(job)) {
                breach("accepted_impossible", job + " can never run");
                return;
            }
            if (!submitted.containsKey(job)) {
                breach("invented", job);
            }
            accepted.add(job);
            answeredAt.put(job, world.now());
            JobState earlier = toldFinal.get(job);
            if (earlier != null && earlier != status.state()) {
                breach("went_back", job + " was " + earlier + ", is " + status.state());
            }
            if (status.state() == JobState.DONE) {
                Set<Integer> done = completed.getOrDefault(job, Set.of());
                if (done.size() < submitted.get(job).tasks()) {
                    breach(
                            "not_done",
                            job + ": " + done.size() + " of "
                                    + submitted.get(job).tasks());
                }
                toldFinal.put(job, JobState.DONE);
            } else if (status.state() == JobState.CANCELLED) {
                if (!cancelAsked.contains(job)) {
                    breach("went_back", job + " is cancelled unasked");
                }
                if (toldFinal.put(job, JobState.CANCELLED) == null) {
                    cancelTold.put(job, world.now());
                }
            }
        }
    }
}
