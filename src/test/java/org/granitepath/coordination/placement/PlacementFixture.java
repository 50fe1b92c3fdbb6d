package org.granitepath.coordination.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.ControllerIdentity;
import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.config.PlatformLimits;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Topology;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;

/** A small fleet and its jobs, made of the production classes, at one moment. */
public final class PlacementFixture {
    /** One second in microseconds. */
    public static final long SECOND = 1_000_000;
    /** The time at which the fixture's timers start, in microseconds. */
    public static final long NOW = 1_000 * SECOND;
    /** One CPU in thousandths. */
    public static final long CPU = 1_000;
    /** A job class whose objective requires its tasks to start sooner than a machine boots. */
    public static final String URGENT_CLASS = "prompt";

    /** The type of all machines: four CPUs, images are fetched at 1 GB/s, and booting takes 20 s. */
    private static final MachineType TYPE =
            new MachineType("small", 4 * CPU, 0, 16_000, 1, 1, 0.3, 20 * SECOND, List.of("a", "b"));

    /** Start at {@link #NOW}; only a test advances them. */
    public final ManualTimers timers = new ManualTimers(NOW);

    public final Config config;
    public final Fleet fleet;
    public final TermRecovery recovery;
    public final PlacementRules rules;
    public final TaskLifecycle tasks;
    public final ActiveJobs jobs;
    public final FaultTracker faults = new FaultTracker();
    public final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();

    /** Creates an empty fleet with these teams. */
    public PlacementFixture(Team... teams) {
        Map<String, Team> byName = Arrays.stream(teams).collect(Collectors.toMap(Team::name, team -> team));
        config = config(byName);
        fleet = new Fleet(config, timers);
        fleet.updateTypes(List.of(TYPE));
        jobs = new ActiveJobs(0, timers, faults::forget);
        SchedulingLoop loop = new SchedulingLoop(timers, () -> false, () -> true, () -> {}, () -> {});
        recovery = new TermRecovery(new RecoveryPlan(1, 0, RecoveryTracer.NONE), jobs, timers, loop);
        TeamLimits teamLimits = new TeamLimits(byName);
        rules = new PlacementRules(fleet, recovery, jobs, teamLimits, faults, runtimeEstimator);
        tasks = new TaskLifecycle(
                new Leadership.Term(1, 1),
                recovery,
                jobs,
                teamLimits,
                timers,
                loop,
                new MachinesWithCommands(() -> {}));
    }

    private static Config config(Map<String, Team> teams) {
        return new Config(
                new ControllerIdentity("c1", "c1-1", "a"),
                new Topology(List.of("a", "b"), Map.of()),
                teams,
                Map.of(URGENT_CLASS, new Objective(4 * SECOND, 0, 0)),
                new WorkerTiming(SECOND, 10 * SECOND, 10 * SECOND, 30 * SECOND, 5 * SECOND),
                new PlatformLimits(10, new StoreLimits(10, 10_000, 10), 5, 100),
                0,
                Tuning.defaults());
    }

    /** Adds an empty machine in zone "a" that accepts tasks. */
    public Machine addMachine(String id, boolean spot) {
        Machine machine =
                fleet.newMachine(new Heartbeat(id, id + ":1", TYPE.name(), "a", spot, 1, 1, 1, 0, List.of()), 1);
        machine.inventory().markRecorded();
        machine.recordHeartbeat(false, NOW);
        machine.confirmTasks();
        fleet.add(machine);
        return machine;
    }

    /** Places the job's next task on the machine, as one that has run for this long. */
    public Placement addRunningTask(ActiveJob job, Machine machine, long ranMicros) {
        Placement placement = tasks.start(job, machine, NOW - ranMicros);
        placement.markSentDirectly();
        placement.markRunning(NOW - ranMicros);
        return placement;
    }

    /** Returns a builder for a batch job. */
    public JobBuilder batch(String id, Priority priority) {
        return new JobBuilder(id, JobSpec.Shape.BATCH, priority);
    }

    /** Returns a builder for a gang. */
    public JobBuilder gang(String id, Priority priority) {
        return new JobBuilder(id, JobSpec.Shape.GANG, priority);
    }

    /** Returns a builder for a service. */
    public JobBuilder service(String id, Priority priority) {
        return new JobBuilder(id, JobSpec.Shape.SERVICE, priority);
    }

    /** Builds a job. By default it has 10 tasks with one CPU each, belongs to team "t" and allows spot machines. */
    public final class JobBuilder {
        private final String id;
        private final JobSpec.Shape shape;
        private final Priority priority;
        private String jobClass = "class";
        private String team = "t";
        private int tasks = 10;
        private long cpuMillis = CPU;
        private double imageGb = 1;
        private long checkpointMicros;
        private long deadlineMicros = JobSpec.NO_DEADLINE;
        private long acceptedMicros;

        private JobBuilder(String id, JobSpec.Shape shape, Priority priority) {
            this.id = id;
            this.shape = shape;
            this.priority = priority;
        }

        /** Sets the name of the job class. */
        public JobBuilder jobClass(String name) {
            jobClass = name;
            return this;
        }

        /** Sets the name of the team. */
        public JobBuilder team(String name) {
            team = name;
            return this;
        }

        /** Sets the number of tasks. */
        public JobBuilder tasks(int count) {
            tasks = count;
            return this;
        }

        /** Sets the CPU that each task needs, in thousandths of a CPU. */
        public JobBuilder cpuMillis(long amount) {
            cpuMillis = amount;
            return this;
        }

        /** Sets the size of the image in gigabytes. */
        public JobBuilder imageGb(double size) {
            imageGb = size;
            return this;
        }

        /** Sets the interval between checkpoints in microseconds; 0 for none. */
        public JobBuilder checkpointMicros(long interval) {
            checkpointMicros = interval;
            return this;
        }

        /** Sets the deadline in microseconds after acceptance. */
        public JobBuilder deadlineMicros(long deadline) {
            deadlineMicros = deadline;
            return this;
        }

        /** Sets the time of acceptance in microseconds. */
        public JobBuilder acceptedMicros(long timeOfDay) {
            acceptedMicros = timeOfDay;
            return this;
        }

        /** Creates the job and adds it to the active jobs of the fixture. */
        public ActiveJob build() {
            JobSpec spec = new JobSpec(
                    id,
                    jobClass,
                    team,
                    shape,
                    priority,
                    tasks,
                    cpuMillis,
                    0,
                    1,
                    "image-of-" + id,
                    imageGb,
                    null,
                    null,
                    false,
                    false,
                    true,
                    60 * SECOND,
                    checkpointMicros,
                    SECOND,
                    deadlineMicros);
            ActiveJob job = new ActiveJob(new JobRecord(spec, acceptedMicros, 0, 1), ProgressRecord.empty(), NOW);
            jobs.add(job);
            return job;
        }
    }
}
