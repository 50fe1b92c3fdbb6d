package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** Simulated users, who submit jobs, poll their status, retry, and cancel some of them. */
final class SimUsers {
    private static final long TIMEOUT_MICROS = 5 * Simulation.SECOND;

    /** A request of a user to a controller. */
    private interface JobRequest {
        void send(Controller controller, Consumer<JobResponse> then);
    }

    private final Simulation simulation;
    private final Map<String, JobSpec> specs = new LinkedHashMap<>();
    /** Ids of the jobs for which a request is under way. */
    private final Set<String> jobsWithRequestInFlight = new HashSet<>();

    private int unschedulableRejectionCount;
    private int doneResponseCount;

    SimUsers(Simulation simulation) {
        this.simulation = simulation;
    }

    /** The spec of a job; null if it is unknown. */
    @Nullable
    JobSpec specOf(String job) {
        return specs.get(job);
    }

    /** How many jobs that can never run were rejected as unschedulable. */
    int unschedulableRejectionCount() {
        return unschedulableRejectionCount;
    }

    /** How many responses reported a job as done. */
    int doneResponseCount() {
        return doneResponseCount;
    }

    /**
     * Cancels this many running jobs, each within 0.2 s, and lets up to eight of their machines hang for a while.
     *
     * @param hangMicros how long the machines hang; zero if they do not
     * @return the ids of the jobs
     */
    List<String> cancelRunning(int count, long hangMicros) {
        List<String> chosen =
                simulation.rules.runningJobs().stream().limit(count).toList();
        List<String> hosts = chosen.stream()
                .flatMap(job -> simulation.rules.hostsOf(job).stream())
                .distinct()
                .limit(8)
                .toList();
        chosen.forEach(
                job -> simulation.environment.after(simulation.environment.random.nextInt(200_000), () -> cancel(job)));
        simulation.cloud.workers().stream()
                .filter(worker -> hangMicros > 0 && hosts.contains(worker.id))
                .forEach(worker -> worker.hangFor(hangMicros));
        return chosen;
    }

    /**
     * Every 0.7 s, takes a random known job, submits it again if it was accepted and cancels it if it is done; also
     * submits a job that can never run.
     */
    void sendUnusualRequests(long durationMicros) {
        for (long at = 0; at < durationMicros; at += 700_000) {
            simulation.environment.after(at, () -> {
                repeatRequest();
                submitUnschedulable();
            });
        }
    }

    private void repeatRequest() {
        List<String> known = List.copyOf(specs.keySet());
        if (known.isEmpty()) {
            return;
        }
        JobSpec spec = specs.get(known.get(simulation.environment.random.nextInt(known.size())));
        if (simulation.rules.isAccepted(spec.id())) {
            request(spec.id(), (controller, then) -> controller.submit(spec, then), answer -> {});
        }
        if (simulation.rules.finalState(spec.id()) == JobState.DONE) {
            cancel(spec.id());
        }
    }

    /** Submits a job whose tasks each take more CPU than the largest machine has. */
    private void submitUnschedulable() {
        JobSpec template = simulation.jobs.batch(3, Simulation.SECOND);
        JobSpec spec = simulation.jobs.withCpu(template, 3, 90_000);
        simulation.rules.recordUnschedulableSubmission(spec.id());
        request(
                spec.id(),
                (controller, then) -> controller.submit(spec, then),
                answer -> unschedulableRejectionCount += answer instanceof JobResponse.Unschedulable ? 1 : 0);
    }

    /** Makes the spec of a job known to workers, although no user has submitted it to a controller. */
    void addSpec(JobSpec spec) {
        specs.put(spec.id(), spec);
    }

    /** Submits a job, retries until a controller accepts or rejects it, and polls its status. */
    void submit(JobSpec spec) {
        submit(spec, -1);
    }

    /** Submits and polls a job, and cancels it this long after its acceptance; never if the delay is negative. */
    void submit(JobSpec spec, long cancelAfterMicros) {
        specs.put(spec.id(), spec);
        simulation.rules.recordSubmission(spec);
        request(spec.id(), (controller, then) -> controller.submit(spec, then), answer -> {
            if (answer instanceof JobResponse.Status) {
                if (cancelAfterMicros >= 0) {
                    simulation.environment.after(cancelAfterMicros, () -> cancel(spec.id()));
                }
                poll(spec.id());
            } else if (!(answer instanceof JobResponse.Unschedulable)) {
                simulation.environment.after(2 * Simulation.SECOND, () -> submit(spec, cancelAfterMicros));
            }
        });
    }

    /** Submits a job to one controller only, retries until it accepts, and polls the status of the job. */
    void submitAt(String node, JobSpec spec) {
        specs.put(spec.id(), spec);
        simulation.rules.recordSubmission(spec);
        requestAt(node, spec.id(), (controller, then) -> controller.submit(spec, then), answer -> {
            if (answer instanceof JobResponse.Status) {
                poll(spec.id());
            } else {
                simulation.environment.after(300_000, () -> submitAt(node, spec));
            }
        });
    }

    private void poll(String id) {
        simulation.environment.after(
                5 * Simulation.SECOND,
                () -> request(id, (controller, then) -> controller.poll(id, then), answer -> {
                    poll(id);
                    if (answer instanceof JobResponse.Status status && status.state() == JobState.DONE) {
                        doneResponseCount++;
                    }
                }));
    }

    /** Cancels a job at a random controller; retries until a controller has confirmed the cancellation. */
    void cancel(String id) {
        cancelAt(simulation.randomNode(), id);
    }

    /** Cancels a job at one controller first; retries at random controllers until one has confirmed it. */
    void cancelAt(String node, String id) {
        simulation.rules.recordCancellationRequest(id);
        requestAt(node, id, (controller, then) -> controller.cancel(id, then), answer -> {
            if (!(answer instanceof JobResponse.Status)) {
                simulation.environment.after(2 * Simulation.SECOND, () -> cancel(id));
            }
        });
    }

    private void request(String id, JobRequest request, Consumer<JobResponse> then) {
        requestAt(simulation.randomNode(), id, request, then);
    }

    private void requestAt(String node, String id, JobRequest request, Consumer<JobResponse> then) {
        String user = "user-" + id;
        // The rules compare a response only with responses that arrived before the request, so requests do not overlap.
        if (jobsWithRequestInFlight.contains(id)) {
            simulation.environment.after(200_000, () -> requestAt(node, id, request, then));
            return;
        }
        jobsWithRequestInFlight.add(id);
        simulation.environment.<JobResponse>callAsync(
                user,
                node,
                TIMEOUT_MICROS,
                answer -> {
                    Controller controller = simulation.controllerAt(node);
                    if (controller != null && !simulation.nodesUnreachableByUsers.contains(node)) {
                        request.send(controller, simulation.traced(node, user, answer));
                    }
                },
                answer -> {
                    jobsWithRequestInFlight.remove(id);
                    if (answer != null) {
                        simulation.rules.recordResponse(id, answer);
                    }
                    then.accept(answer);
                });
    }

    /** Polls the status of a job that nobody has submitted. */
    void pollUnknownJob() {
        String id = "run-999" + simulation.environment.random.nextInt(1000);
        request(id, (controller, then) -> controller.poll(id, then), answer -> {});
    }

    /** Ids of the accepted jobs other than services for which no response reported a final state. */
    List<String> unfinishedBatchJobs() {
        List<String> list = new ArrayList<>();
        for (JobSpec spec : specs.values()) {
            if (!spec.isService()
                    && simulation.rules.isAccepted(spec.id())
                    && simulation.rules.finalState(spec.id()) == null) {
                list.add(spec.id());
            }
        }
        return list;
    }
}
