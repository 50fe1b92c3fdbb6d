package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests which machines taken over are called, and when. */
class TakeoverCallsTest {
    private static final long RETRY_DELAY_MICROS = 300_000;

    private final FleetFixture fixture = new FleetFixture();
    private final int maxCalls = fixture.config.limits().maxConcurrentCalls() * 2 / 3;
    private final TakeoverCalls takeoverCalls = new TakeoverCalls(
            fixture.config, fixture.fleet, fixture.workerCalls, fixture.timers, () -> fixture.termEnded);

    private List<Machine> takeOver(int count) {
        return fixture.takeOver(
                IntStream.range(0, count).mapToObj(number -> "m" + number).toArray(String[]::new));
    }

    private List<String> calledMachines() {
        return fixture.calls.stream()
                .map(call -> call.address().replace(":1", ""))
                .toList();
    }

    @Test
    void oneThirdOfCallsIsReservedForCommands() {
        takeOver(maxCalls + 2);
        takeoverCalls.start();
        assertEquals(maxCalls, fixture.calls.size());
    }

    @Test
    void nextMachineIsCalledWhenCallEnds() {
        List<Machine> machines = takeOver(maxCalls + 2);
        takeoverCalls.start();
        fixture.calls.get(0).respond(nextHeartbeat(machines.get(0)));
        assertEquals(maxCalls + 1, fixture.calls.size());
        assertEquals("m" + maxCalls, calledMachines().get(maxCalls));
    }

    @Test
    void machineWithoutResponseIsCalledAgainAfterDelay() {
        takeOver(1);
        takeoverCalls.start();
        fixture.calls.get(0).timeOut();
        fixture.timers.advance(RETRY_DELAY_MICROS - 1);
        assertEquals(List.of("m0"), calledMachines());
        fixture.timers.advance(1);
        assertEquals(List.of("m0", "m0"), calledMachines());
    }

    @Test
    void machineThatRespondedIsNotCalledAgain() {
        Machine machine = takeOver(1).get(0);
        takeoverCalls.start();
        fixture.calls.get(0).respond(nextHeartbeat(machine));
        fixture.timers.advance(RETRY_DELAY_MICROS);
        assertEquals(List.of("m0"), calledMachines());
    }

    @Test
    void machineIsNotCalledAfterItsHeartbeat() {
        List<Machine> machines = takeOver(2);
        fixture.reconciler.reconcile(machines.get(0), nextHeartbeat(machines.get(0)), MessageOrigin.HEARTBEAT);
        takeoverCalls.start();
        assertEquals(List.of("m1"), calledMachines());
    }

    @Test
    void machineWithCallInFlightIsCalledLater() {
        Machine machine = takeOver(1).get(0);
        fixture.workerCalls.callWithoutCommands(machine, () -> {});
        takeoverCalls.start();
        fixture.calls.get(0).timeOut();
        assertEquals(1, fixture.calls.size());
        fixture.timers.advance(RETRY_DELAY_MICROS);
        assertEquals(2, fixture.calls.size());
    }

    @Test
    void noMachineIsCalledAfterEndOfTerm() {
        takeOver(1);
        fixture.termEnded = true;
        takeoverCalls.start();
        assertTrue(fixture.calls.isEmpty());
    }
}
