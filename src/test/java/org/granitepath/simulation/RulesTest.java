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
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The checkers notice planted violations. */
class RulesTest {
    private final World world = new World(1);
    private final Rules rules = new Rules(world, Map.of("t", new Team("t", 0, 3_000, 0, 0)), 10_000_000);

    @BeforeEach
    void submit() {
        rules.submitting(spec("run-1", false, false));
        rules.submitting(spec("run-2", true, false));
        rules.submitting(spec("run-3", false, true));
    }

    private static JobSpec spec(String id, boolean spread, boolean oneZone) {
        return spec(id, 2, spread, oneZone, 1_000_000);
    }

    private static JobSpec spec(String id, int tasks, boolean spread, boolean oneZone, long runMicros) {
        return new JobSpec(
                id,
                "c",
                "t",
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

    private void assertBroken(String rule) {
        assertEquals(1, rules.broken.size(), rules.broken.toString());
        assertTrue(rules.broken.get(0).startsWith(rule), rules.broken.toString());
    }

    private void start(String job, int index, String host, String zone) {
        rules.started(new TaskId(job, index), host, "m", zone, false);
    }

    private static JobResponse status(String job, JobState state) {
        return new JobResponse.Status(false, job, state, 0, 0);
    }

    @Test
    void keptRulesAreNotCalledBroken() {
        start("run-1", 0, "a", "z");
        rules.left(new TaskId("run-1", 0), "a");
        start("run-1", 0, "b", "z");
        start("run-2", 0, "a", "z");
        start("run-2", 1, "b", "y");
        assertTrue(rules.broken.isEmpty(), rules.broken.toString());
    }

    @Test
    void sameTaskOnTwoMachines() {
        start("run-1", 0, "a", "z");
        start("run-1", 0, "b", "z");
        assertBroken("ran_twice");
    }

    @Test
    void spotMachineNotAllowed() {
        rules.started(new TaskId("run-1", 0), "a", "m", "z", true);
        assertBroken("wrong_place");
    }

    @Test
    void scatterInOneZone() {
        start("run-2", 0, "a", "z");
        start("run-2", 1, "b", "z");
        assertBroken("wrong_place");
    }

    @Test
    void samePlaceInTwoZones() {
        start("run-3", 0, "a", "z");
        start("run-3", 1, "b", "y");
        assertBroken("wrong_place");
    }

    @Test
    void teamOverItsLimit() {
        start("run-1", 0, "a", "z");
        start("run-1", 1, "a", "z");
        start("run-3", 0, "a", "z");
        assertTrue(rules.broken.isEmpty());
        start("run-3", 1, "a", "z");
        assertBroken("quota");
    }

    @Test
    void cancelledTaskOverstays() {
        start("run-1", 0, "a", "z");
        rules.cancelling("run-1");
        rules.told("run-1", status("run-1", JobState.CANCELLED));
        world.run(10_000_000, () -> {});
        rules.check();
        assertTrue(rules.broken.isEmpty());
        world.run(10_000_001, () -> {});
        rules.check();
        assertBroken("ran_cancelled");
    }

    @Test
    void noAnswerForLong() {
        rules.told("run-1", status("run-1", JobState.PENDING));
        rules.told("run-2", status("run-2", JobState.PENDING));
        world.run(70_000_000, () -> {});
        rules.told("run-2", status("run-2", JobState.PENDING));
        rules.checkKnown(0);
        assertTrue(rules.broken.isEmpty());
        world.run(76_000_000, () -> {});
        rules.checkKnown(5_000_000);
        assertTrue(rules.broken.isEmpty(), "troubles were over only 71 s ago");
        rules.checkKnown(0);
        assertBroken("forgotten");
    }

    @Test
    void startIsSentAfterACancellation() {
        rules.commandSent(new TaskId("run-1", 0));
        rules.cancelling("run-1");
        rules.told("run-1", status("run-1", JobState.CANCELLED));
        assertTrue(rules.broken.isEmpty());
        rules.commandSent(new TaskId("run-1", 1));
        assertBroken("started_cancelled");
    }

    @Test
    void unschedulableJobIsAccepted() {
        rules.submittingUnschedulable("run-9");
        rules.told("run-9", new JobResponse.Unschedulable("too large"));
        assertTrue(rules.broken.isEmpty());
        rules.told("run-9", status("run-9", JobState.PENDING));
        assertBroken("accepted_impossible");
    }

    /** A cancelled task on a machine that hung goes on with it. */
    @Test
    void cancelledTaskGoesOnAfterItsMachineHung() {
        SimWorker worker = worker();
        worker.commands(1, 1, List.of(WorkerCommand.start(new TaskId("run-1", 0), 7)));
        world.run(1_000_000, rules::check);
        assertEquals(1, rules.usedBy("t") / 1_000);
        rules.cancelling("run-1");
        rules.told("run-1", status("run-1", JobState.CANCELLED));
        worker.hang(true);
        world.run(5_000_000, rules::check);
        worker.hang(false);
        world.run(10_900_000, rules::check);
        assertTrue(rules.broken.isEmpty(), rules.broken.toString());
        world.run(11_100_000, rules::check);
        assertTrue(rules.broken.get(0).startsWith("ran_cancelled"), rules.broken.toString());
    }

    @Test
    void jobIsLeftWaiting() {
        SimWorker worker = worker();
        rules.told("run-1", status("run-1", JobState.PENDING));
        for (long at = 0; at <= 89; at++) {
            world.run(at * 1_000_000, () -> {});
            rules.checkWaiting(List.of(worker));
        }
        assertTrue(rules.broken.isEmpty(), rules.broken.toString());
        world.run(91_000_000, () -> {});
        rules.checkWaiting(List.of());
        assertTrue(rules.broken.isEmpty(), "no machine is there");
        for (long at = 92; at <= 183; at++) {
            world.run(at * 1_000_000, () -> {});
            rules.checkWaiting(List.of(worker));
        }
        assertBroken("neglected");
    }

    private SimWorker worker() {
        return new SimWorker(
                world,
                rules,
                new SimControllers() {
                    @Override
                    public List<String> names() {
                        return List.of("n");
                    }

                    @Override
                    public HeartbeatResponse heartbeat(String node, Heartbeat heartbeat) {
                        return new HeartbeatResponse.Accepted(1, List.of());
                    }

                    @Override
                    public boolean fails(String job) {
                        return false;
                    }
                },
                job -> spec(job, 2, false, false, 300_000_000),
                new HashSet<>(),
                new SimGangs(world, rules, new HashSet<>()),
                new SimWorker.Facts(
                        "i-1", new MachineType("m", 4_000, 0, 4_000, 10, 1, 1, 1, List.of("z")), "z", false),
                new SimWorker.Timing(1_000_000, 20_000_000));
    }

    @Test
    void jobsNotServed() {
        rules.told("run-1", status("run-1", JobState.PENDING));
        rules.told("run-2", status("run-2", JobState.PENDING));
        rules.told("run-3", status("run-3", JobState.PENDING));
        for (String job : new String[] {"run-1", "run-2"}) {
            start(job, 0, "a", "y");
            start(job, 1, "b", "z");
            rules.completed(new TaskId(job, 0));
            rules.completed(new TaskId(job, 1));
            rules.left(new TaskId(job, 0), "a");
            rules.left(new TaskId(job, 1), "b");
        }
        rules.checkServed();
        assertTrue(rules.broken.isEmpty(), rules.broken.toString());
        world.run(241_000_000, () -> {});
        rules.submitting(spec("run-0", false, false));
        rules.submitting(wide("run-4"));
        rules.told("run-4", status("run-4", JobState.PENDING));
        rules.checkServed();
        assertBroken("unserved at 241.0 s: largest of class c: 0 of 1");
    }

    @Test
    void largestBeginsLate() {
        rules.submitting(wide("run-4"));
        rules.told("run-4", status("run-4", JobState.PENDING));
        world.run(241_000_000, () -> {});
        for (int i = 0; i < 3; i++) {
            start("run-4", i, "a", "z");
            rules.completed(new TaskId("run-4", i));
        }
        rules.checkServed();
        assertBroken("unserved at 241.0 s: largest of class c: run-4 begins after 241 s");
    }

    private static JobSpec wide(String id) {
        return spec(id, 3, false, false, 1_000_000);
    }

    @Test
    void wrongAnswers() {
        rules.told("run-1", status("run-1", JobState.PENDING));
        rules.told("run-1", new JobResponse.NotFound());
        assertBroken("forgotten");
        rules.broken.clear();
        rules.told("run-1", status("run-1", JobState.DONE));
        assertBroken("not_done");
        rules.broken.clear();
        rules.told("run-1", status("run-1", JobState.RUNNING));
        assertBroken("went_back");
    }

    @Test
    void commandsBeforeTheMachineIsHeardAndStartsSentTwice() {
        SimCommands commands = new SimCommands(world, rules);
        List<WorkerCommand> start = List.of(WorkerCommand.start(new TaskId("run-1", 0), 5));
        commands.sent(1, "n0", "a", List.of());
        assertEquals(List.of(), rules.broken);
        commands.sent(1, "n0", "a", start);
        assertTrue(rules.broken.get(0).startsWith("commanded_unheard"), rules.broken.toString());
        commands.heard(2, "a");
        commands.sent(2, "n0", "a", start);
        assertTrue(rules.broken.get(1).startsWith("start_repeated"), rules.broken.toString());
        assertEquals(2, rules.broken.size());
    }
}
