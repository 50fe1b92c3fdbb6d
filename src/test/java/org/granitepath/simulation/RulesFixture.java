package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Priority;

/**
 * The rules for one team with a limit of three CPUs and a cancellation timeout of ten seconds. Three jobs of two tasks
 * are submitted: one that may run anywhere, one that is spread over zones, and one that must run in one zone.
 */
final class RulesFixture {
    static final String ANYWHERE = "run-1";
    static final String SPREAD = "run-2";
    static final String ONE_ZONE = "run-3";
    static final String TEAM = "t";

    private static final int TASKS = 2;
    private static final long RUN_MICROS = 1_000_000;
    private static final long LONG_RUN_MICROS = 300_000_000;

    private final SimEnvironment environment = new SimEnvironment(1);
    private final Rules rules = new Rules(environment, Map.of(TEAM, new Team(TEAM, 0, 3_000, 0, 0)), 10_000_000);

    RulesFixture() {
        rules.recordSubmission(spec(ANYWHERE, TASKS, false, false, RUN_MICROS));
        rules.recordSubmission(spec(SPREAD, TASKS, true, false, RUN_MICROS));
        rules.recordSubmission(spec(ONE_ZONE, TASKS, false, true, RUN_MICROS));
    }

    SimEnvironment environment() {
        return environment;
    }

    Rules rules() {
        return rules;
    }

    private static JobSpec spec(String id, int tasks, boolean spread, boolean oneZone, long runMicros) {
        return new JobSpec(
                id,
                "c",
                TEAM,
                JobSpec.Shape.BATCH,
                Priority.HIGH,
                tasks,
                1_000,
                0,
                1_000,
                "i",
                1,
                null,
                null,
                oneZone,
                spread,
                false,
                runMicros,
                0,
                0,
                JobSpec.NO_DEADLINE);
    }

    /** Submits another job that may run anywhere. */
    void submitJob(String id, int tasks) {
        rules.recordSubmission(spec(id, tasks, false, false, RUN_MICROS));
    }

    /** Records that a task has started on an on-demand machine. */
    void startTask(String job, int index, String host, String zone) {
        rules.recordTaskStarted(new TaskId(job, index), host, "m", zone, false);
    }

    /** Delivers a status response about a job to a user. */
    void deliverStatus(String job, JobState state) {
        rules.recordResponse(job, new JobResponse.Status(false, job, state, 0, 0));
    }

    /** Advances the simulated time without checks. */
    void runUntil(long micros) {
        environment.run(micros, () -> {});
    }

    /** Advances the simulated time and checks the rules after each event. */
    void runUntilWithChecks(long micros) {
        environment.run(micros, rules::check);
    }

    /** Asserts that there is exactly one violation and that its description begins like this. */
    void assertViolation(String beginning) {
        assertEquals(1, rules.violations().size(), rules.violations().toString());
        assertTrue(
                rules.violations().get(0).startsWith(beginning),
                rules.violations().toString());
    }

    void assertNoViolations() {
        assertTrue(rules.violations().isEmpty(), rules.violations().toString());
    }

    /** A worker with four CPUs whose heartbeats are accepted and whose tasks are estimated to run for five minutes. */
    SimWorker worker() {
        return new SimWorker(
                environment,
                rules,
                new AcceptingController(),
                job -> spec(job, TASKS, false, false, LONG_RUN_MICROS),
                new HashSet<>(),
                new SimGangs(environment, rules, new HashSet<>()),
                new SimWorker.MachineFacts(
                        "i-1", new MachineType("m", 4_000, 0, 4_000, 10, 1, 1, 1, List.of("z")), "z", false),
                new SimWorker.Timing(1_000_000, 20_000_000));
    }

    private static final class AcceptingController implements SimControllers {
        @Override
        public List<String> nodeNames() {
            return List.of("n");
        }

        @Override
        public HeartbeatResponse handleHeartbeat(String node, Heartbeat heartbeat) {
            return new HeartbeatResponse.Accepted(1, List.of());
        }

        @Override
        public boolean failsEverywhere(String job) {
            return false;
        }
    }
}
