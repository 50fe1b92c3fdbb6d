package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.Priority;

/**
 * What waiting batch work can expect of the room at hand: which jobs can still make their deadlines, all together, and
 * which can wait for cheap room. Looked at a few times a second for all jobs as a class, not at each decision.
 */
final class BatchPlanner {
    private static final long EVERY_MICROS = 250_000;
    /** What packing leaves unused, and what running tasks hold of a machine that is to be emptied. */
    private static final double USABLE = 0.9;

    /**
     * Live services come first, then what is within its team's guarantee. Of the rest, jobs that can make their
     * deadlines all together go before those that can make the longest multiple that the aims name, and these before
     * what is late all the same or has no deadline.
     */
    enum SchedulingClass {
        LIVE,
        GUARANTEED,
        IN_TIME,
        NEARLY,
        ANY
    }

    private record Due(ActiveJob job, double work, double micros) {}

    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final RuntimeEstimator runtimeEstimator;
    private long dueMicros;
    private double batchWork;
    /** Of it, that with a deadline: it goes before the rest. */
    private double urgentWork;

    private double room;
    /** Of it, that on spot machines and beside services, which is paid for anyway. */
    private double cheapRoom;

    BatchPlanner(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.runtimeEstimator = runtimeEstimator;
    }

    void update(long now) {
        if (now < dueMicros) {
            return;
        }
        dueMicros = now + EVERY_MICROS;
        survey(now);
        List<Due> inTime = new ArrayList<>();
        List<Due> later = new ArrayList<>();
        for (ActiveJob j : activeJobs.all()) {
            if (j.running() > 0) {
                j.lastRunningMicros = now;
            }
            j.schedulingClass = SchedulingClass.ANY;
            if (isLive(j)) {
                j.schedulingClass = SchedulingClass.LIVE;
            } else if (stalled(j, now)) {
                j.schedulingClass = SchedulingClass.IN_TIME;
            } else if (j.spec.hasDeadline() || finishAim(j) > 0) {
                long left = (finishAim(j) > 0 ? finishAim(j) : j.spec.deadlineMicros()) - activeJobs.ageMicros(j, now);
                (runtimeEstimator.taskMicros(j) <= left ? inTime : later).add(new Due(j, work(j), left));
            }
        }
        double taken = selectFeasible(inTime, later, SchedulingClass.IN_TIME, 0);
        List<Due> extended = new ArrayList<>();
        for (Due d : later) {
            double times = config.objectives()
                    .getOrDefault(d.job().spec.jobClass(), Config.Objective.NONE)
                    .deadlineTimes();
            double left = d.micros() + (times - 1) * d.job().spec.deadlineMicros();
            if (times > 1 && runtimeEstimator.taskMicros(d.job()) <= left) {
                extended.add(new Due(d.job(), d.work(), left));
            }
        }
        selectFeasible(extended, new ArrayList<>(), SchedulingClass.NEARLY, taken);
        putGuaranteedFirst();
    }

    /**
     * What is within its team's guarantee need not wait for other teams: a job is, when it fits into the guarantee
     * along with the team's earlier unfinished jobs. All else that a team has is borrowed, and goes by turn and
     * share.
     */
    private void putGuaranteedFirst() {
        if (config.teams().values().stream().noneMatch(Config.Team::hasGuarantee)) {
            return;
        }
        Object2LongOpenHashMap<String> cpu = new Object2LongOpenHashMap<>();
        Object2LongOpenHashMap<String> gpu = new Object2LongOpenHashMap<>();
        List<ActiveJob> byAge = new ArrayList<>(activeJobs.all());
        byAge.sort(Comparator.comparingLong((ActiveJob j) -> j.acceptedMicros).thenComparing(j -> j.spec.id()));
        for (ActiveJob j : byAge) {
            Config.Team team = config.teams().get(j.spec.team());
            if (j.phase != ActiveJob.Phase.OPEN || team == null || !team.hasGuarantee()) {
                continue;
            }
            cpu.addTo(team.name(), j.left() * j.spec.cpuMillis());
            gpu.addTo(team.name(), j.left() * j.spec.gpuMillis());
            if (!isLive(j)
                    && cpu.getLong(team.name()) <= team.cpuGuarantee()
                    && gpu.getLong(team.name()) <= team.gpuGuarantee()) {
                j.schedulingClass = SchedulingClass.GUARANTEED;
            }
        }
    }

    /**
     * The largest number of jobs that can all be in time: by deadline, and whenever the work so far is too much, the
     * largest of it is left out (Moore's rule). Returns the work taken on.
     */
    private double selectFeasible(List<Due> jobs, List<Due> leftOut, SchedulingClass schedulingClass, double before) {
        jobs.sort(Comparator.comparingDouble(Due::micros));
        PriorityQueue<Due> taken =
                new PriorityQueue<>(Comparator.comparingDouble(Due::work).reversed());
        double sum = before;
        for (Due d : jobs) {
            taken.add(d);
            sum += d.work();
            // The last wave of tasks does not fill the room to its end.
            double usable = room * USABLE * (d.micros() - runtimeEstimator.taskMicros(d.job()) / 2.0);
            while (sum > usable && !taken.isEmpty() && room > 0) {
                Due largest = taken.poll();
                sum -= largest.work();
                leftOut.add(largest);
            }
        }
        for (Due d : taken) {
            d.job().schedulingClass = schedulingClass;
        }
        return sum;
    }

    static boolean isLive(ActiveJob job) {
        return job.spec.service() && !Priority.HIGH.above(job.spec.priority());
    }

    /** Giving way has a bound: a job that has long had nothing on a machine competes by its share alone again. */
    private boolean stalled(ActiveJob job, long now) {
        long since = job.lastRunningMicros < 0 ? activeJobs.ageMicros(job, now) : now - job.lastRunningMicros;
        return since > config.tuning().maxStarvationMicros();
    }

    /** Some classes are judged by a time of their own; their owners' deadlines are wishes. */
    private long finishAim(ActiveJob job) {
        Config.Objective o = config.objectives().getOrDefault(job.spec.jobClass(), Config.Objective.NONE);
        return o.deadlineTimes() == 0 && job.spec.hasDeadline() ? o.finishMicros() : 0;
    }

    /** CPU time that the job still needs; tasks under way are half over, on the average. */
    private double work(ActiveJob j) {
        return (j.left() - 0.5 * j.running()) * j.spec.cpuMillis() * runtimeEstimator.taskMicros(j);
    }

    private void survey(long now) {
        batchWork = 0;
        urgentWork = 0;
        for (ActiveJob j : activeJobs.all()) {
            if (!j.spec.service()) {
                double work = work(j);
                batchWork += work;
                urgentWork += j.spec.hasDeadline() ? work : 0;
            }
        }
        room = 0;
        cheapRoom = 0;
        for (Machine m : fleet.machines()) {
            if (m.type != null && m.phase != Machine.Phase.RETURNING && !m.unresponsive(now, config.reportMicros())) {
                long forBatch = m.type.cpuMillis() - m.cpuUsedByServices();
                room += forBatch;
                cheapRoom += m.spot || m.hostsService() ? forBatch : 0;
            }
        }
    }

    /** How long the batch work at hand takes, with so much more room. */
    double drainMicros(double moreRoom) {
        return batchWork / Math.max(1, room + moreRoom);
    }

    /**
     * Whether the job can wait for room that is cheap or paid for anyway: until its deadline is at stake, until the
     * time by which its tasks are expected to start, or, where nothing is expected, until it is stalled.
     *
     * @param moreRoom CPUs that are on their way
     */
    boolean deferrable(ActiveJob job, double moreRoom, long now) {
        if (job.spec.service() || job.spec.gang() || !job.spec.spot()) {
            return false;
        }
        if (job.spec.hasDeadline() && finishAim(job) == 0) {
            // Should the wait turn out longer, there must be time left to rent a machine after all.
            double wait = urgentWork / Math.max(1, cheapRoom + moreRoom) + quickestBootMicros();
            return activeJobs.ageMicros(job, now) + wait + runtimeEstimator.taskMicros(job)
                    <= job.spec.deadlineMicros();
        }
        Config.Objective o = config.objectives().getOrDefault(job.spec.jobClass(), Config.Objective.NONE);
        if (o.waitMicros() == 0 && o.finishMicros() == 0) {
            return !stalled(job, now);
        }
        double aim = Math.min(
                o.waitMicros() == 0 ? Double.MAX_VALUE : o.waitMicros(),
                o.finishMicros() == 0 ? Double.MAX_VALUE : o.finishMicros() - runtimeEstimator.taskMicros(job));
        long waited = job.waitingSinceMicros < 0 ? 0 : now - job.waitingSinceMicros;
        return waited + batchWork / Math.max(1, cheapRoom + moreRoom)
                <= aim * config.tuning().deferralShare();
    }

    /**
     * Whether waiting for cheap room would already miss what is expected: the job is within its team's guarantee, or
     * its class is expected to start sooner than a machine boots. Such work takes whatever room there is.
     */
    boolean mustStartAtOnce(ActiveJob job) {
        long aim = config.objectives()
                .getOrDefault(job.spec.jobClass(), Config.Objective.NONE)
                .waitMicros();
        return job.schedulingClass == SchedulingClass.GUARANTEED || (aim > 0 && aim < quickestBootMicros());
    }

    private double quickestBootMicros() {
        return fleet.types().values().stream()
                .mapToLong(MachineType::bootMicros)
                .min()
                .orElse(0);
    }
}
