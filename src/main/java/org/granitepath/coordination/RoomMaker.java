package org.granitepath.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Rank;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room by stopping work of lower rank, where least is lost. Live services may stop anything below them at once;
 * jobs with a deadline only work that saves itself first. Tasks alike are decided as a class, in one look at the fleet.
 */
final class RoomMaker {
    private static final Logger LOG = LoggerFactory.getLogger(RoomMaker.class);
    /** A task that has run for this long may be stopped for a job with a deadline. */
    private static final long SETTLED_MICROS = 10_000_000;

    /** What to stop on one machine so that at least one more task fits there. */
    private record Sacrifice(Machine machine, List<Placement> victims, double loss, int slots) {}

    private final Dispatcher dispatcher;
    private final Collection<Machine> machines;

    RoomMaker(Dispatcher dispatcher, Collection<Machine> machines) {
        this.dispatcher = dispatcher;
        this.machines = machines;
    }

    /**
     * Returns how many tasks like those of this job will fit once the work that is being stopped is gone.
     *
     * @param wanted how many such tasks wait
     * @param withImageOnly only on machines that already have the job's image
     */
    int makeRoom(ActiveJob job, int wanted, boolean withImageOnly, long now) {
        boolean live = Outlook.isLive(job);
        if (!live && !job.spec.hasDeadline()) {
            return 0;
        }
        int coming = 0;
        List<Sacrifice> offers = new ArrayList<>();
        for (Machine m : machines) {
            if (!dispatcher.eligible(m, job, now) || withImageOnly && !m.hasImage(job.spec.image())) {
                continue;
            }
            long[] more = new long[3];
            List<Placement> candidates = new ArrayList<>();
            for (Placement p : m.placements.values()) {
                if (p.phase == Placement.Phase.STOPPING) {
                    add(more, p.job.spec);
                } else if (mayStopFor(job, live, p, now)) {
                    candidates.add(p);
                }
            }
            int soon = m.slots(job.spec, more[0], more[1], more[2]);
            if (soon > 0) {
                coming += soon;
            } else if (!candidates.isEmpty()) {
                Sacrifice s = cheapest(job, m, candidates, more, now);
                if (s != null) {
                    offers.add(s);
                }
            }
        }
        offers.sort(Comparator.comparingDouble(Sacrifice::loss));
        for (Sacrifice s : offers) {
            if (coming >= wanted) {
                break;
            }
            for (Placement p : s.victims()) {
                LOG.info("stopping {} on {} to make room for {}", p.task, s.machine().id, job.spec.id());
                dispatcher.stop(p, live ? 0 : p.job.spec.saveMicros(), "room for " + job.spec.id());
            }
            coming += s.slots();
        }
        return coming;
    }

    private static Sacrifice cheapest(ActiveJob job, Machine m, List<Placement> candidates, long[] more, long now) {
        candidates.sort(Comparator.comparingDouble(p -> loss(p, now)));
        List<Placement> victims = new ArrayList<>();
        double loss = m.hasImage(job.spec.image()) ? 0 : job.spec.imageGb() / m.type.fetchGbPerSecond() * 1e9;
        for (Placement p : candidates) {
            victims.add(p);
            loss += loss(p, now);
            add(more, p.job.spec);
            int slots = m.slots(job.spec, more[0], more[1], more[2]);
            if (slots > 0) {
                return new Sacrifice(m, victims, loss, slots);
            }
        }
        return null;
    }

    private static void add(long[] room, JobSpec s) {
        room[0] += s.cpuMillis();
        room[1] += s.gpuMillis();
        room[2] += s.memoryMillis();
    }

    private static boolean mayStopFor(ActiveJob job, boolean live, Placement p, long now) {
        JobSpec victim = p.job.spec;
        if (!job.spec.rank().above(victim.rank()) || victim.service()) {
            return false;
        }
        return live || victim.checkpointMicros() > 0 && p.runningSinceMicros >= 0
                && now - p.runningSinceMicros > SETTLED_MICROS;
    }

    /** CPU time that stopping this task throws away. */
    private static double loss(Placement p, long now) {
        long ran = p.runningSinceMicros < 0 ? 0 : now - p.runningSinceMicros;
        long interval = p.job.spec.checkpointMicros();
        long unsaved = interval > 0 ? ran % interval : ran;
        return (double) p.job.spec.cpuMillis() * (unsaved + 1_000_000) * (p.job.spec.rank().above(Rank.BEST_EFFORT)
                ? 3 : 1);
    }
}
