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

/** Users who submit jobs, ask for them until they are over, and call some off. */
final class SimUsers {
    private static final long TIMEOUT_MICROS = 5 * Simulation.SECOND;

    /** What a user asks of a controller, and where the answer goes. */
    private interface JobRequest {
        void send(Controller controller, Consumer<JobResponse> then);
    }

    private final Simulation simulation;
    private final Map<String, JobSpec> specs = new LinkedHashMap<>();
    /** Jobs for which a question is under way. */
    private final Set<String> jobsWithRequestInFlight = new HashSet<>();

    private int unschedulableRejectionCount;
    private int doneResponseCount;

    SimUsers(Simulation simulation) {
        this.simulation = simulation;
    }

    /** The description of this job, or null when nobody has made one known. */
    @Nullable
    JobSpec specOf(String job) {
        return specs.get(job);
    }

    /** How often a job that can never run was refused as such. */
    int unschedulableRejectionCount() {
        return unschedulableRejectionCount;
    }

    /** How often users were told that a job is done. */
    int doneResponseCount() {
        return doneResponseCount;
    }

    /** Users cancel so many jobs that run, within a fifth of a second; up to eight of their machines hang. */
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

    /** Users repeat submissions, cancel what is done, and send jobs that can never run. */
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

    /** Each task takes more than the largest machine has. */
    private void submitUnschedulable() {
        JobSpec like = simulation.jobs.batch(3, Simulation.SECOND);
        JobSpec spec = simulation.jobs.withCpu(like, 3, 90_000);
        simulation.rules.recordUnschedulableSubmission(spec.id());
        request(
                spec.id(),
                (controller, then) -> controller.submit(spec, then),
                answer -> unschedulableRejectionCount += answer instanceof JobResponse.Unschedulable ? 1 : 0);
    }

    /** Workers find the description of this job, although no user has submitted it to a controller. */
    void addSpec(JobSpec spec) {
        specs.put(spec.id(), spec);
    }

    /** A user submits and polls to the end. */
    void submit(JobSpec spec) {
        submit(spec, -1);
    }

    /** A user submits, polls to the end and may cancel after a while (negative: never). */
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

    /** The same at one controller alone, until it accepts. */
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

    /** A user calls the job off, at any controller until one has confirmed it. */
    void cancel(String id) {
        cancelAt(simulation.randomNode(), id);
    }

    /** The same at one controller first. */
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
        // Answers are compared only when the question was put after the earlier answer: so one question at a time.
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

    /** A user asks for a job that nobody has submitted. */
    void pollUnknownJob() {
        String id = "run-999" + simulation.environment.random.nextInt(1000);
        request(id, (controller, then) -> controller.poll(id, then), answer -> {});
    }

    /** Accepted jobs, services aside, of which no user was told the end. */
    List<String> unfinishedBatchJobs() {
        List<String> list = new ArrayList<>();
        for (JobSpec spec : specs.values()) {
            if (!spec.service()
                    && simulation.rules.isAccepted(spec.id())
                    && simulation.rules.finalState(spec.id()) == null) {
                list.add(spec.id());
            }
        }
        return list;
    }
}
