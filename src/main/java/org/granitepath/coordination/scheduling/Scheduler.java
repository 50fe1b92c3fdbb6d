package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.PriorityQueue;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.gang.GangScheduler;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.MachinePreference;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.recovery.LiveWorkBacklog;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.granitepath.storage.Timers;

/** The order of jobs and the choice of machines: again and again one task to the job with the lowest share. */
public final class Scheduler {
    private static final long IMAGE_WAIT_MICROS = 1_500_000;

    private record Candidate(ActiveJob job, SchedulingClass schedulingClass, double share) {}

    private static final Comparator<Candidate> LOWEST_FIRST = Comparator.comparing(Candidate::schedulingClass)
            .thenComparingDouble(Candidate::share)
            .thenComparing(candidate -> candidate.job().spec().priority())
            .thenComparingLong(candidate -> candidate.job().acceptedMicros());

    /**
     * What a task needs. When one finds no capacity, none that needs as much or more at the same places does either.
     */
    private record ResourceRequest(
            long cpu,
            long gpu,
            long memory,
            List<String> types,
            String zone,
            List<String> closedZones,
            boolean spot,
            boolean deferrable,
            Priority priority) {
        boolean atMost(ResourceRequest other) {
            return cpu <= other.cpu
                    && gpu <= other.gpu
                    && memory <= other.memory
                    && spot == other.spot()
                    && deferrable == other.deferrable()
                    && priority == other.priority
                    && Objects.equals(types, other.types)
                    && Objects.equals(zone, other.zone())
                    && closedZones.equals(other.closedZones);
        }
    }

    /** How long a job may wait for cheap capacity while other capacity stands empty: the users allow 90 s. */
    private static final long LONGEST_WAIT_BESIDE_CAPACITY_MICROS = 75_000_000;

    private final Config config;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final TermRecovery recovery;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;
    private final JobLifecycle jobs;
    private final Timers timers;
    private final FairShare fairShare;
    private final BatchPlanner batchPlanner;
    private final Preemptor preemptor;
    private final MachinePreference preference;
    private final GangScheduler gangScheduler;
    private final GangHeadroom gangHeadroom;
    /** Machines that take tasks and have some capacity, in this cycle. */
    private final List<Machine> machinesWithCapacity = new ArrayList<>();

    /** Schedules the jobs of this term. */
    public Scheduler(
            Config config,
            Fleet fleet,
            ActiveJobs activeJobs,
            TermRecovery recovery,
            PlacementRules rules,
            TaskLifecycle tasks,
            JobLifecycle jobs,
            BatchPlanner batchPlanner,
            Preemptor preemptor,
            GangHeadroom gangHeadroom,
            Timers timers) {
        this.config = config;
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.recovery = recovery;
        this.rules = rules;
        this.tasks = tasks;
        this.jobs = jobs;
        this.batchPlanner = batchPlanner;
        this.preemptor = preemptor;
        this.timers = timers;
        this.fairShare = new FairShare(config.tuning().weights());
        this.preference = new MachinePreference(rules);
        this.gangScheduler = new GangScheduler(config, fleet, rules, tasks, preference);
        this.gangHeadroom = gangHeadroom;
    }

    /** One cycle, until nothing more fits. */
    public void runCycle() {
        long now = timers.nowMicros();
        recovery.cycleBegins(now);
        recovery.cycleEnded(decide(now));
    }

    /** Returns for how many tasks that resume first there is no capacity yet, while others are stopped for them. */
    private int decide(long now) {
        batchPlanner.update(now);
        gangScheduler.releaseReservations(now);
        PriorityQueue<Candidate> queue = candidates(now);
        if (queue.isEmpty()) {
            return 0;
        }
        int awaitingPreemption = 0;
        findMachinesWithCapacity(queue, now);
        gangHeadroom.survey();
        List<ResourceRequest> unplaceable = new ArrayList<>();
        while (!queue.isEmpty()) {
            ActiveJob job = queue.poll().job();
            if (job.spec().gang()) {
                gangScheduler.schedule(job, machinesWithCapacity, now);
                continue;
            }
            ResourceRequest request = request(job);
            if (unplaceable.stream().anyMatch(other -> other.atMost(request)) || !rules.mayStartAnother(job)) {
                continue;
            }
            Machine machine = pick(job, now);
            if (machine == null) {
                unplaceable.add(request);
                int pending =
                        preemptor.preemptFor(job, job.waitingTasks() + waitingInSameClass(queue, request), false, now);
                awaitingPreemption += LiveWorkBacklog.includes(job.spec()) ? pending : 0;
                continue;
            }
            // A short wait gets a live replica onto a machine that already has its image.
            if (job.isLive()
                    && !machine.capacity().hasImage(job.spec().image())
                    && now - job.scheduling().waitingSinceMicros() < IMAGE_WAIT_MICROS
                    && preemptor.preemptFor(job, 1, true, now) > 0) {
                awaitingPreemption++;
                continue;
            }
            tasks.start(job, machine, now);
            gangHeadroom.taken(machine, job.spec());
            jobs.claim(job);
            if (job.waitingTasks() > 0 && job.hasClaimedTask()) {
                job.scheduling().setDeferrable(deferrable(job, now));
                queue.add(candidate(job));
            }
        }
        return awaitingPreemption;
    }

    private PriorityQueue<Candidate> candidates(long now) {
        PriorityQueue<Candidate> queue = new PriorityQueue<>(LOWEST_FIRST);
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() <= 0) {
                job.scheduling().noTaskWaiting();
                continue;
            }
            if (job.scheduling().notBeforeMicros() > now) {
                continue;
            }
            jobs.claim(job);
            job.scheduling().tasksWaiting(now);
            if (job.hasClaimedTask() && recovery.mayStart(job)) {
                job.scheduling().setDeferrable(deferrable(job, now));
                queue.add(candidate(job));
            }
        }
        return queue;
    }

    /** However well a job could wait, it is not left without a start for long while capacity stands empty. */
    private boolean deferrable(ActiveJob job, long now) {
        return now
                                - Math.max(
                                        job.scheduling().waitingSinceMicros(),
                                        job.scheduling().lastStartMicros())
                        < LONGEST_WAIT_BESIDE_CAPACITY_MICROS
                && !batchPlanner.mustStartAtOnce(job)
                && batchPlanner.deferrable(job, 0, now);
    }

    private void findMachinesWithCapacity(Collection<Candidate> wanting, long now) {
        long cpu = Long.MAX_VALUE;
        long memory = Long.MAX_VALUE;
        for (Candidate candidate : wanting) {
            cpu = Math.min(cpu, candidate.job().spec().cpuMillis());
            memory = Math.min(memory, candidate.job().spec().memoryMillis());
        }
        machinesWithCapacity.clear();
        for (Machine machine : fleet.machines()) {
            if (machine.takesTasks() && machine.capacity().hasFree(cpu, memory) && !fleet.unresponsive(machine, now)) {
                machinesWithCapacity.add(machine);
            }
        }
    }

    private int waitingInSameClass(Collection<Candidate> queue, ResourceRequest request) {
        int waiting = 0;
        for (Candidate candidate : queue) {
            if (request(candidate.job()).equals(request)) {
                waiting += candidate.job().waitingTasks();
            }
        }
        return waiting;
    }

    private ResourceRequest request(ActiveJob job) {
        JobSpec spec = job.spec();
        List<String> closed = spec.spread() || spec.oneZone()
                ? config.topology().zones().stream()
                        .filter(zone -> !job.zoneAllows(zone))
                        .toList()
                : List.of();
        return new ResourceRequest(
                spec.cpuMillis(),
                spec.gpuMillis(),
                spec.memoryMillis(),
                spec.types(),
                spec.zone(),
                closed,
                spec.spot(),
                job.scheduling().deferrable(),
                spec.priority());
    }

    private Candidate candidate(ActiveJob job) {
        return new Candidate(
                job,
                job.isLive() ? SchedulingClass.LIVE : job.scheduling().schedulingClass(),
                fairShare.share(
                        job.spec().priority(),
                        job.spec().hasDeadline(),
                        job.spec().tasks(),
                        job.unfinishedTasks(),
                        job.running()));
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    private Machine pick(ActiveJob job, long now) {
        Machine best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (Machine machine : machinesWithCapacity) {
            if (machine.capacity().fits(job.spec())
                    && machine.takesTasks()
                    && rules.mayHold(machine, job)
                    && gangHeadroom.leavesHeadroom(machine, job, now)
                    && rules.suits(machine, job, now)) {
                double score = preference.score(machine, job.spec());
                if (score > bestScore) {
                    bestScore = score;
                    best = machine;
                }
            }
        }
        return best;
    }
}
