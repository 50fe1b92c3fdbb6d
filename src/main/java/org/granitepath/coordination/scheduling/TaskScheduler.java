package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.recovery.LiveWorkBacklog;

/**
 * Starts one task of a job that is not a gang, or preempts other tasks for it. Remembers within a scheduling cycle
 * which requests found no capacity, so that no request for as much or more is tried again.
 */
final class TaskScheduler {
    /** How long a replica of a live service waits for a machine that already has its image. */
    private static final long IMAGE_WAIT_MICROS = 1_500_000;

    private final List<String> zones;
    private final CandidateQueue candidates;
    private final MachineSelector machines;
    private final PlacementRules rules;
    private final Preemptor preemptor;
    private final TaskLifecycle tasks;
    private final List<ResourceRequest> unplaceableRequests = new ArrayList<>();

    TaskScheduler(
            List<String> zones,
            CandidateQueue candidates,
            MachineSelector machines,
            PlacementRules rules,
            Preemptor preemptor,
            TaskLifecycle tasks) {
        this.zones = zones;
        this.candidates = candidates;
        this.machines = machines;
        this.rules = rules;
        this.preemptor = preemptor;
        this.tasks = tasks;
    }

    /** Forgets the requests that found no capacity in the last cycle. */
    void beginCycle() {
        unplaceableRequests.clear();
    }

    /**
     * Starts the next task of the job if there is capacity; otherwise tries to preempt other tasks.
     *
     * @return how many tasks of live work have no capacity yet while other tasks are being stopped for them
     */
    int schedule(ActiveJob job, long nowMicros) {
        ResourceRequest request = requestOf(job, nowMicros);
        if (isUnplaceable(request) || !rules.canStartAnotherTask(job)) {
            return 0;
        }
        Machine machine = machines.best(job, nowMicros);
        if (machine == null) {
            unplaceableRequests.add(request);
            return preemptForEqualRequests(job, request, nowMicros);
        }
        if (shouldWaitForImage(job, machine, nowMicros) && preemptor.preemptFor(job, 1, true, nowMicros) > 0) {
            return 1;
        }
        tasks.start(job, machine, nowMicros);
        machines.onTaskPlaced(machine, job.spec());
        candidates.requeue(job, nowMicros);
        return 0;
    }

    private ResourceRequest requestOf(ActiveJob job, long nowMicros) {
        return ResourceRequest.of(job, zones, rules, nowMicros);
    }

    private boolean isUnplaceable(ResourceRequest request) {
        return unplaceableRequests.stream().anyMatch(other -> other.isAtMost(request));
    }

    /**
     * Preempts other tasks for all waiting tasks with this request at once.
     *
     * @return how many tasks will fit once the stopped tasks are gone; 0 if the job is not live work
     */
    private int preemptForEqualRequests(ActiveJob job, ResourceRequest request, long nowMicros) {
        int wanted = job.waitingTasks() + waitingWithSameRequest(request, nowMicros);
        int pending = preemptor.preemptFor(job, wanted, false, nowMicros);
        return LiveWorkBacklog.isLiveWork(job.spec()) ? pending : 0;
    }

    private int waitingWithSameRequest(ResourceRequest request, long nowMicros) {
        return candidates
                .queuedJobs()
                .filter(job -> requestOf(job, nowMicros).equals(request))
                .mapToInt(ActiveJob::waitingTasks)
                .sum();
    }

    /**
     * Returns whether a replica of a live service should still wait for a machine with its image, because the given
     * machine lacks it.
     */
    private static boolean shouldWaitForImage(ActiveJob job, Machine machine, long nowMicros) {
        return job.isLiveService()
                && !machine.capacity().hasImage(job.spec().image())
                && nowMicros - job.scheduling().waitingSinceMicros() < IMAGE_WAIT_MICROS;
    }
}
