package org.granitepath.coordination.model;

import java.util.List;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Priority;
import org.granitepath.storage.ProgressRecord;

/** Machines, jobs and messages for tests of the model and of the packages above it. */
public final class Fixtures {
    /** One second in microseconds. */
    public static final long SECOND = 1_000_000;
    /** The number of tasks of each job. */
    public static final int TASKS = 10;
    /** A machine type with 4 CPUs, a GPU and 8 GB. */
    public static final MachineType TYPE =
            new MachineType("small", 4_000, 1_000, 8_000, 1, 0.1, 0.05, SECOND, List.of("north", "south"));

    private Fixtures() {}

    /** Returns a machine that has a known type and has not sent a heartbeat yet. */
    public static Machine machine(String id, String zone) {
        Machine machine = new Machine(id, id + ":1", TYPE.name(), zone, false);
        machine.setType(TYPE);
        return machine;
    }

    /** Returns the specification of a job of standard priority. */
    public static JobSpec spec(JobSpec.Shape shape, boolean oneZone, boolean spread) {
        return spec(shape, oneZone, spread, Priority.STANDARD);
    }

    /** Returns the specification of a job of ten tasks that need 1 CPU and 2 GB each and should run for 60 s. */
    public static JobSpec spec(JobSpec.Shape shape, boolean oneZone, boolean spread, Priority priority) {
        return new JobSpec(
                "run-1",
                "class",
                "team",
                shape,
                priority,
                TASKS,
                1_000,
                0,
                2_000,
                "image",
                1,
                null,
                null,
                oneZone,
                spread,
                false,
                60 * SECOND,
                0,
                0,
                JobSpec.NO_DEADLINE);
    }

    /** Returns a batch job of ten tasks, none of which was ever claimed. */
    public static ActiveJob job() {
        return job(spec(JobSpec.Shape.BATCH, false, false), 0, ProgressRecord.empty());
    }

    /** Returns a job with the given first claim and progress. */
    public static ActiveJob job(JobSpec spec, int claimed, ProgressRecord progress) {
        return new ActiveJob(new JobRecord(spec, 0, claimed, 1), progress, SECOND);
    }

    /** Returns an attempt of a task that was placed at 2 s. */
    public static Placement placement(ActiveJob job, int task, Machine machine, long attempt) {
        return placement(job, task, machine, attempt, 2 * SECOND);
    }

    /** Returns an attempt of a task that was placed at the given time. */
    public static Placement placement(ActiveJob job, int task, Machine machine, long attempt, long placedMicros) {
        return new Placement(new TaskId(job.spec().id(), task), job, machine, attempt, placedMicros);
    }

    /** Returns a heartbeat of the machine that lists no tasks. */
    static Heartbeat heartbeat(Machine machine, long agentEpoch, long sequence) {
        return new Heartbeat(
                machine.id(),
                machine.contact().address(),
                machine.typeName(),
                machine.zone(),
                false,
                agentEpoch,
                sequence,
                machine.fencingToken(),
                -1,
                List.of());
    }
}
