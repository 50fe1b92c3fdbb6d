package org.granitepath.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.storage.MachineType;

/**
 * What waiting batch work can expect of the capacity at hand: which jobs can still make their deadlines, all
 * together, and which can wait for cheap capacity. Looked at a few times a second for all jobs as a class, not at
 * each decision.
 */
public final class BatchPlanner {
    private static final long EVERY_MICROS = 250_000;
    /** What packing leaves unused, and what running tasks hold of a machine that is to be emptied. */
    private static final double USABLE = 0.9;

    private record Due(ActiveJob job, double work, double micros) {}

    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final RuntimeEstimator runtimeEstimator;
    private long dueMicros;
    private long promptGangCpu;
    private double batchWork;
    /** Of it, that with a deadline: it goes before the rest. */
    private double urgentWork;

    private double capacity;
    /** Of it, that on spot machines and beside services, which is paid for anyway. */
    private double cheapCapacity;

    /** Knows nothing before the first update. */
    public BatchPlanner(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Looks at all jobs and machines anew, unless it did so lately. */
    public void update(long now) {
        if (now < dueMicros) {
            return;
        }
        dueMicros = now + EVERY_MICROS;
        survey(now);
        List<Due> inTime = new ArrayList<>();
        List<Due> later = new ArrayList<>();
        for (ActiveJob job : activeJobs.all()) {
            if (job.running() > 0) {
                job.scheduling().seenRunning(now);
            }
            job.scheduling().classify(SchedulingClass.ANY);
            if (job.isLive()) {
                job.scheduling().classify(SchedulingClass.LIVE);
            } else if (stalled(job, now) || isExpectedGang(job)) {
                job.scheduling().classify(SchedulingClass.IN_TIME);
            } else if (job.spec().hasDeadline() || finishAim(job) > 0) {
                long left = (finishAim(job) > 0 ? finishAim(job) : job.spec().deadlineMicros())
                        - activeJobs.ageMicros(job, now);
                (runtimeEstimator.taskMicros(job) <= left ? inTime : later).add(new Due(job, work(job), left));
            }
        }
        double taken = selectFeasible(inTime, later, SchedulingClass.IN_TIME, 0);
        List<Due> extended = new ArrayList<>();
        for (Due due : later) {
            double times = config.objectives()
                    .getOrDefault(due.job().spec().jobClass(), Objective.NONE)
                    .deadlineTimes();
            double left = due.micros() + (times - 1) * due.job().spec().deadlineMicros();
            if (times > 1 && runtimeEstimator.taskMicros(due.job()) <= left) {
                extended.add(new Due(due.job(), due.work(), left));
            }
        }
        selectFeasible(extended, new ArrayList<>(), SchedulingClass.NEARLY, taken);
        putGuaranteedFirst();
        promptGangCpu = activeJobs.all().stream()
                .filter(job -> job.spec().gang() && mustStartAtOnce(job))
                .mapToLong(job -> job.spec().cpuMillis() * job.spec().tasks())
                .max()
                .orElse(0);
    }

    /** CPUs of the largest gang at hand that is expected to start sooner than a machine boots; 0: there is none. */
    public long promptGangCpu() {
        return promptGangCpu;
    }

    /**
     * What is within its team's guarantee need not wait for other teams: a job is, when it fits into the guarantee
     * along with the team's earlier unfinished jobs. All else that a team has is borrowed, and goes by class and
     * share.
     */
    private void putGuaranteedFirst() {
        if (config.teams().values().stream().noneMatch(Team::hasGuarantee)) {
            return;
        }
        Object2LongOpenHashMap<String> cpu = new Object2LongOpenHashMap<>();
        Object2LongOpenHashMap<String> gpu = new Object2LongOpenHashMap<>();
        List<ActiveJob> byAge = new ArrayList<>(activeJobs.all());
        byAge.sort(Comparator.comparingLong((ActiveJob job) -> job.acceptedMicros())
                .thenComparing(job -> job.spec().id()));
        for (ActiveJob job : byAge) {
            Team team = config.teams().get(job.spec().team());
            if (!job.isOpen() || team == null || !team.hasGuarantee()) {
                continue;
            }
            cpu.addTo(team.name(), job.unfinishedTasks() * job.spec().cpuMillis());
            gpu.addTo(team.name(), job.unfinishedTasks() * job.spec().gpuMillis());
            if (!job.isLive()
                    && cpu.getLong(team.name()) <= team.cpuGuarantee()
                    && gpu.getLong(team.name()) <= team.gpuGuarantee()) {
                job.scheduling().classify(SchedulingClass.GUARANTEED);
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
        for (Due due : jobs) {
            taken.add(due);
            sum += due.work();
            // The last wave of tasks does not fill the capacity to its end.
            double usable = capacity * USABLE * (due.micros() - runtimeEstimator.taskMicros(due.job()) / 2.0);
            while (sum > usable && !taken.isEmpty() && capacity > 0) {
                Due largest = taken.poll();
                sum -= largest.work();
                leftOut.add(largest);
            }
        }
        for (Due due : taken) {
            due.job().scheduling().classify(schedulingClass);
        }
        return sum;
    }

    /**
     * A gang of which something is expected goes with what can be in time, until it has started: it needs its
     * capacity all at once, and what other work leaves over never becomes enough.
     */
    private boolean isExpectedGang(ActiveJob job) {
        Objective objective = config.objectives().getOrDefault(job.spec().jobClass(), Objective.NONE);
        return job.spec().gang() && (objective.waitMicros() > 0 || objective.finishMicros() > 0);
    }

    /** Giving way has a bound: a job that has long had nothing on a machine competes by its share alone again. */
    private boolean stalled(ActiveJob job, long now) {
        long since = job.scheduling().lastRunningMicros() < 0
                ? activeJobs.ageMicros(job, now)
                : now - job.scheduling().lastRunningMicros();
        return since > config.tuning().maxStarvationMicros();
    }

    /** Some classes are judged by a time of their own; their owners' deadlines are wishes. */
    private long finishAim(ActiveJob job) {
        Objective objective = config.objectives().getOrDefault(job.spec().jobClass(), Objective.NONE);
        return objective.deadlineTimes() == 0 && job.spec().hasDeadline() ? objective.finishMicros() : 0;
    }

    /** CPU time that the job still needs; tasks under way are half over, on the average. */
    private double work(ActiveJob job) {
        return (job.unfinishedTasks() - 0.5 * job.running())
                * job.spec().cpuMillis()
                * runtimeEstimator.taskMicros(job);
    }

    private void survey(long now) {
        batchWork = 0;
        urgentWork = 0;
        for (ActiveJob job : activeJobs.all()) {
            if (!job.spec().service()) {
                double work = work(job);
                batchWork += work;
                urgentWork += job.spec().hasDeadline() ? work : 0;
            }
        }
        capacity = 0;
        cheapCapacity = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.type() != null
                    && machine.phase() != Machine.Phase.TERMINATING
                    && !machine.contact().unresponsive(now, config.workers().heartbeatIntervalMicros())) {
                long forBatch = machine.type().cpuMillis() - machine.capacity().cpuUsedByServices();
                capacity += forBatch;
                cheapCapacity += machine.spot() || machine.capacity().hostsService() ? forBatch : 0;
            }
        }
    }

    /** How long the batch work at hand takes, with so much more capacity. */
    public double drainMicros(double moreCapacity) {
        return batchWork / Math.max(1, capacity + moreCapacity);
    }

    /**
     * Whether the job can wait for capacity that is cheap or paid for anyway: until its deadline is at stake, until the
     * time by which its tasks are expected to start, or, where nothing is expected, until it is stalled.
     *
     * @param moreCapacity CPUs that are on their way
     */
    public boolean deferrable(ActiveJob job, double moreCapacity, long now) {
        if (job.spec().service() || job.spec().gang() || !job.spec().spot()) {
            return false;
        }
        if (job.spec().hasDeadline() && finishAim(job) == 0) {
            // Should the wait turn out longer, there must be time left to launch a machine after all.
            double wait = urgentWork / Math.max(1, cheapCapacity + moreCapacity) + quickestBootMicros();
            return activeJobs.ageMicros(job, now) + wait + runtimeEstimator.taskMicros(job)
                    <= job.spec().deadlineMicros();
        }
        Objective objective = config.objectives().getOrDefault(job.spec().jobClass(), Objective.NONE);
        if (objective.waitMicros() == 0 && objective.finishMicros() == 0) {
            return !stalled(job, now);
        }
        double aim = Math.min(
                objective.waitMicros() == 0 ? Double.MAX_VALUE : objective.waitMicros(),
                objective.finishMicros() == 0
                        ? Double.MAX_VALUE
                        : objective.finishMicros() - runtimeEstimator.taskMicros(job));
        long waited = !job.scheduling().isWaiting() ? 0 : now - job.scheduling().waitingSinceMicros();
        return waited + batchWork / Math.max(1, cheapCapacity + moreCapacity)
                <= aim * config.tuning().deferralShare();
    }

    /**
     * Whether waiting for cheap capacity would already miss what is expected: the job is within its team's
     * guarantee, or its class is expected to start sooner than a machine boots. Such work takes whatever capacity
     * there is.
     */
    public boolean mustStartAtOnce(ActiveJob job) {
        long aim = config.objectives()
                .getOrDefault(job.spec().jobClass(), Objective.NONE)
                .waitMicros();
        return job.scheduling().schedulingClass() == SchedulingClass.GUARANTEED
                || (aim > 0 && aim < quickestBootMicros());
    }

    private double quickestBootMicros() {
        return fleet.types().values().stream()
                .mapToLong(MachineType::bootMicros)
                .min()
                .orElse(0);
    }
}
