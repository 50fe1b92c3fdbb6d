package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.coordination.Config;
import org.granitepath.coordination.TaskId;
import org.granitepath.coordination.UserAnswer;
import org.granitepath.coordination.UserAnswer.JobState;

/** The users' rules, checked from what happens on machines and what users are told. */
final class Rules {
    private record Where(String host, String zone) {}

    private final World world;
    private final Map<String, Config.Team> teams;
    private final long cancelMicros;
    final List<String> broken = new ArrayList<>();
    private final Map<String, JobSpec> submitted = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, JobState> toldFinal = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final Map<String, Long> cancelTold = new TreeMap<>();
    private final Map<TaskId, Where> on = new HashMap<>();
    private final Map<String, Set<Integer>> completed = new HashMap<>();
    int starts;

    Rules(World world, Map<String, Config.Team> teams, long cancelMicros) {
        this.world = world;
        this.teams = teams;
        this.cancelMicros = cancelMicros;
    }

    private void breach(String rule, String what) {
        broken.add(rule + " at " + world.now() / 1e6 + " s: " + what);
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    void started(TaskId task, String host, String type, String zone, boolean spot) {
        starts++;
        JobSpec spec = submitted.get(task.job());
        Where other = on.get(task);
        if (other != null) {
            breach("ran_twice", task + " starts on " + host + " while on " + other.host());
        }
        on.put(task, new Where(host, zone));
        if (!spec.allowsType(type) || !spec.allowsZone(zone) || spot && !spec.spot()) {
            breach("wrong_place", task + " on " + type + " " + zone + (spot ? " spot" : ""));
        }
        int here = 0;
        boolean elsewhere = false;
        long cpu = 0;
        long gpu = 0;
        for (var e : on.entrySet()) {
            JobSpec s = submitted.get(e.getKey().job());
            if (s.team().equals(spec.team())) {
                cpu += s.cpuMillis();
                gpu += s.gpuMillis();
            }
            if (e.getKey().job().equals(task.job())) {
                here += e.getValue().zone().equals(zone) ? 1 : 0;
                elsewhere |= !e.getValue().zone().equals(zone);
            }
        }
        if (spec.spread() && here > spec.zoneCap() || spec.oneZone() && elsewhere) {
            breach("wrong_place", task + ": " + here + " of its job in " + zone);
        }
        Config.Team team = teams.get(spec.team());
        if (team.cpuLimit() > 0 && cpu > team.cpuLimit() || team.gpuLimit() > 0 && gpu > team.gpuLimit()) {
            breach("quota", "team " + spec.team() + " uses " + cpu + " and " + gpu);
        }
        Long told = cancelTold.get(task.job());
        if (told != null && world.now() > told + cancelMicros) {
            breach("ran_cancelled", task + " starts");
        }
    }

    void left(TaskId task, String host) {
        Where w = on.get(task);
        if (w != null && w.host().equals(host)) {
            on.remove(task);
        }
    }

    void completed(TaskId task) {
        completed.computeIfAbsent(task.job(), j -> new HashSet<>()).add(task.index());
    }

    /** After each step: nothing of a cancelled job may be left when its time is over. */
    void check() {
        if (cancelTold.isEmpty()) {
            return;
        }
        for (TaskId t : on.keySet()) {
            Long told = cancelTold.get(t.job());
            if (told != null && world.now() > told + cancelMicros) {
                breach("ran_cancelled", t + " is still on " + on.get(t).host());
            }
        }
        cancelTold.values().removeIf(told -> world.now() > told + cancelMicros + 120_000_000);
    }

    // ---- users -------------------------------------------------------------------------------------------------

    void submitting(JobSpec spec) {
        submitted.putIfAbsent(spec.id(), spec);
    }

    void cancelling(String job) {
        cancelAsked.add(job);
    }

    boolean acceptedJob(String job) {
        return accepted.contains(job);
    }

    JobState finalTold(String job) {
        return toldFinal.get(job);
    }

    /** An answer that a user got, by its time of arrival; asked after every earlier answer had arrived. */
    void told(String job, UserAnswer answer) {
        if (answer instanceof UserAnswer.NotFound && accepted.contains(job)) {
            breach("forgotten", job + " is not found");
        } else if (answer instanceof UserAnswer.Impossible && accepted.contains(job)) {
            breach("forgotten", job + " is called impossible");
        } else if (answer instanceof UserAnswer.Status s) {
            if (!submitted.containsKey(job)) {
                breach("invented", job);
            }
            accepted.add(job);
            JobState earlier = toldFinal.get(job);
            if (earlier != null && earlier != s.state()) {
                breach("went_back", job + " was " + earlier + ", is " + s.state());
            }
            if (s.state() == JobState.DONE) {
                Set<Integer> done = completed.getOrDefault(job, Set.of());
                if (done.size() < submitted.get(job).tasks()) {
                    breach("not_done", job + ": " + done.size() + " of " + submitted.get(job).tasks());
                }
                toldFinal.put(job, JobState.DONE);
            } else if (s.state() == JobState.CANCELLED) {
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
