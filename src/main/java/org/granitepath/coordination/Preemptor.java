package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room by stopping work, where least is lost. Live services may stop anything of lower priority at once; jobs
 * with a deadline only work of lower priority that saves itself first; what is within its team's guarantee, after a
 * moment's wait, also what other teams run beyond theirs. Tasks alike are decided as a class, in one look at the
 * fleet.
 */
final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);
    /** A task that has run for this long may be stopped for a job with a deadline. */
    private static final long MIN_RUNTIME_MICROS = 10_000_000;
    /**
     * So long guaranteed work waits after its last start for room that becomes free by itself, before borrowed work is
     * stopped for it. Without this each freed place went back and forth: what was stopped started elsewhere, and was
     * stopped there for the next.
     */
    private static final long RECLAIM_DELAY_MICROS = 2_000_000;

    /** What to stop on one machine so that at least one more task fits there. */
    private record Preemption(Machine machine, List<Placement> victims, double loss, int slots) {}

    private final Fleet fleet;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;

    Preemptor(Fleet fleet, PlacementRules rules, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.rules = rules;
        this.tasks = tasks;
    }

    /**
     * Returns how many tasks like those of this job will fit once the work that is being stopped is gone.
     *
     * @param wanted how many such tasks wait
     * @param withImageOnly only on machines that already have the job's image
     */
    int makeRoom(ActiveJob job, int wanted, boolean withImageOnly, long now) {
        boolean live = BatchPlanner.isLive(job);
        boolean reclaims = job.schedulingClass == BatchPlanner.SchedulingClass.GUARANTEED
                && now - Math.max(job.waitingSinceMicros, job.lastStartMicros) > RECLAIM_DELAY_MICROS;
        if (!live && !job.spec.hasDeadline() && !reclaims) {
            return 0;
        }
        // What each other team can be made to give back; filled as its tasks are met.
        Object2LongOpenHashMap<String> borrowed = new Object2LongOpenHashMap<>();
        int coming = 0;
        List<Preemption> offers = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            if (!rules.eligible(m, job, now) || (withImageOnly && !m.hasImage(job.spec.image()))) {
                continue;
            }
            long[] more = new long[3];
            List<Placement> candidates = new ArrayList<>();
            for (Placement p : m.placements.values()) {
                if (p.phase == Placement.Phase.STOPPING) {
                    add(more, p.job.spec);
                } else if (mayStopFor(job, live, p, now) || (reclaims && isBorrowed(job, p, borrowed))) {
                    candidates.add(p);
                }
            }
            int soon = m.slots(job.spec, more[0], more[1], more[2]);
            if (soon > 0) {
                coming += soon;
            } else if (!candidates.isEmpty()) {
                Preemption s = cheapest(job, m, candidates, more, now);
                if (s != null) {
                    offers.add(s);
                }
            }
        }
        offers.sort(Comparator.comparingDouble(Preemption::loss));
        for (Preemption s : offers) {
            if (coming >= wanted) {
                break;
            }
            if (!withinBorrowed(s, job, live, borrowed, now)) {
                continue;
            }
            for (Placement p : s.victims()) {
                LOG.info("stopping {} on {} to make room for {}", p.task, s.machine().id, job.spec.id());
                tasks.stop(p, live ? 0 : p.job.spec.saveMicros(), "room for " + job.spec.id());
            }
            coming += s.slots();
        }
        return coming;
    }

    private static Preemption cheapest(ActiveJob job, Machine m, List<Placement> candidates, long[] more, long now) {
        candidates.sort(Comparator.comparingDouble(p -> loss(p, now)));
        List<Placement> victims = new ArrayList<>();
        double loss = m.hasImage(job.spec.image()) ? 0 : job.spec.imageGb() / m.type.fetchGbPerSecond() * 1e9;
        for (Placement p : candidates) {
            victims.add(p);
            loss += loss(p, now);
            add(more, p.job.spec);
            int slots = m.slots(job.spec, more[0], more[1], more[2]);
            if (slots > 0) {
                return new Preemption(m, victims, loss, slots);
            }
        }
        return null;
    }

    private static void add(long[] room, JobSpec s) {
        room[0] += s.cpuMillis();
        room[1] += s.gpuMillis();
        room[2] += s.memoryMillis();
    }

    /** Whether this task is work that another team runs beyond its own guarantee. Live replicas are let be. */
    private boolean isBorrowed(ActiveJob job, Placement p, Object2LongOpenHashMap<String> borrowed) {
        String team = p.job.spec.team();
        if (team.equals(job.spec.team())
                || p.job.spec.service()
                || p.job.schedulingClass == BatchPlanner.SchedulingClass.GUARANTEED) {
            return false;
        }
        if (!borrowed.containsKey(team)) {
            borrowed.put(team, rules.borrowedCpu(team));
        }
        return borrowed.getLong(team) > 0;
    }

    /**
     * No team is made to give back more than it has borrowed: counts the tasks of one machine that only loans
     * explain.
     */
    private static boolean withinBorrowed(
            Preemption s, ActiveJob job, boolean live, Object2LongOpenHashMap<String> borrowed, long now) {
        List<Placement> isBorrowed =
                s.victims().stream().filter(p -> !mayStopFor(job, live, p, now)).toList();
        for (Placement p : isBorrowed) {
            if (borrowed.getLong(p.job.spec.team()) <= 0) {
                return false;
            }
        }
        isBorrowed.forEach(p -> borrowed.addTo(p.job.spec.team(), -p.job.spec.cpuMillis()));
        return true;
    }

    private static boolean mayStopFor(ActiveJob job, boolean live, Placement p, long now) {
        JobSpec victim = p.job.spec;
        if (!job.spec.priority().above(victim.priority()) || victim.service()) {
            return false;
        }
        return live
                || (victim.checkpointMicros() > 0
                        && p.runningSinceMicros >= 0
                        && now - p.runningSinceMicros > MIN_RUNTIME_MICROS);
    }

    /** CPU time that stopping this task throws away. */
    private static double loss(Placement p, long now) {
        long ran = p.runningSinceMicros < 0 ? 0 : now - p.runningSinceMicros;
        long interval = p.job.spec.checkpointMicros();
        long unsaved = interval > 0 ? ran % interval : ran;
        return (double) p.job.spec.cpuMillis()
                * (unsaved + 1_000_000)
                * (p.job.spec.priority().above(Priority.BEST_EFFORT) ? 3 : 1);
    }
}
