package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** The largest fleets: the rules throughout, and what is asked of others as counts. */
class FleetTest {
    private static final long SECOND = Simulation.SECOND;

    /** Many machines, reports every five seconds, few writes. */
    @Test
    void aThousandAndSevenHundredMachines() {
        day(
                new Simulation(
                        1,
                        new Simulation.Shape(
                                5, 213, 5 * SECOND, 27 * SECOND, 52 * SECOND, 150, 18, 8 * 1024, 8, 1_519)),
                1_500);
    }

    /** Fewer machines that heartbeat every two seconds, and short leases. */
    @Test
    void sevenHundredMachinesWithFrequentHeartbeats() {
        day(
                new Simulation(
                        2,
                        new Simulation.Shape(
                                5, 97, 2 * SECOND, 13 * SECOND, 33 * SECOND, 300, 90, 32 * 1024, 16, 2_257)),
                700);
    }

    /**
     * Four thousand machines and all controllers down at once: each heartbeat is compared once, whatever the fleet, and
     * the store is asked no more than it allows.
     */
    @Test
    void fourThousandMachinesAfterAColdRestart() {
        Simulation s = RecoveryLoad.fleet(3, RecoveryLoad.Size.LARGE);
        int[] running = new int[1];
        int[] refusals = new int[1];
        s.world.after(RecoveryLoad.RESTART, () -> {
            running[0] = (int) s.rules.tasksUp();
            refusals[0] = s.store.refusals;
            s.faults.crashAll(SECOND);
        });
        s.run(RecoveryLoad.RESTART + 30 * SECOND);
        RecoveryStatus status = s.recovery();
        assertEquals(RecoveryPhase.RECOVERED, status.phase());
        assertTrue(
                status.term().machines().takenOver() >= 4_000,
                status.term().machines().takenOver() + " machines");
        assertTrue(running[0] >= 10_000, running[0] + " tasks");
        // Some eight reports of each machine in that time, each listing what runs there.
        assertTrue(
                status.term().comparisons() < 12L * running[0],
                status.term().comparisons() + " comparisons of " + running[0] + " tasks");
        assertTrue(s.store.refusals - refusals[0] < 150, (s.store.refusals - refusals[0]) + " requests came too fast");
        assertTrue(s.mostCalls <= s.shape.connections() / 6, s.mostCalls + " calls to machines at once");
        assertEquals(0, s.store.oversized, "a transaction or a value over its limit");
        s.run(RecoveryLoad.RESTART + 90 * SECOND);
        assertEquals(List.of(), s.rules.broken.stream().distinct().limit(5).toList());
    }

    /** A leader that stands still, a zone cut off with a crash in it, and all controllers down at once. */
    private static void day(Simulation s, int machines) {
        List<JobSpec> services = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            services.add(s.jobs.job(true, 6, Priority.CRITICAL, "free", false, true, false, 0, 0));
            s.users.submit(services.get(i), -1);
        }
        for (int i = 0; i < 40; i++) {
            s.world.after(
                    3 * SECOND + 3L * i * SECOND / 2,
                    () -> s.users.submit(
                            s.jobs.job(
                                    false, machines / 4, Priority.STANDARD, "free", true, false, false, 60 * SECOND, 0),
                            -1));
        }
        int[] most = new int[1];
        s.world.after(70 * SECOND, () -> {
            most[0] = s.cloud.workers().size();
            s.faults.freeze(s.leader(), 33 * SECOND);
        });
        s.world.after(112 * SECOND, () -> s.faults.cutZone("south", World.Cut.HOLD, 30 * SECOND));
        s.world.after(118 * SECOND, () -> s.faults.crash(s.leader(), 300_000));
        s.world.after(
                160 * SECOND,
                () -> s.names.forEach(n -> s.faults.crash(n, 300_000 + s.world.random.nextInt(4_000_000))));
        s.run(170 * SECOND, 400 * SECOND);
        assertEquals(List.of(), s.rules.broken.stream().distinct().limit(5).toList());
        assertTrue(most[0] >= machines, "only " + most[0] + " machines");
        assertEquals(List.of(), s.users.unfinishedBatches());
        s.rules.checkServed();
        assertEquals(List.of(), s.rules.broken);
        assertEquals(0, s.store.oversized, "a transaction or a value over its limit");
        assertTrue(
                s.store.refusals < s.store.requests / 20,
                s.store.refusals + " of " + s.store.requests + " requests came too fast");
        assertTrue(s.mostCalls <= s.shape.connections() / 6, s.mostCalls + " calls to machines at once");
        int busy = s.cloud.terminatedBusy.size();
        assertTrue(busy < machines / 50, busy + " machines returned with tasks on them");
    }
}
