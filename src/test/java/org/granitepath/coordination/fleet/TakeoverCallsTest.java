package org.granitepath.coordination.fleet;

import static org.granitepath.coordination.fleet.FleetFixture.nextHeartbeat;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.granitepath.coordination.model.Machine;
import org.junit.jupiter.api.Test;

/** Which machines taken over are called, and when. */
class TakeoverCallsTest {
    private static final long CALL_AGAIN = 300_000;

    private final FleetFixture fixture = new FleetFixture();
    private final int mostCalls = fixture.config.limits().maxConcurrentCalls() * 2 / 3;
    private final TakeoverCalls takeoverCalls =
            new TakeoverCalls(fixture.config, fixture.fleet, fixture.workerCalls, fixture.timers, () -> fixture.ended);

    private List<Machine> takeOver(int count) {
        return fixture.takeOver(
                IntStream.range(0, count).mapToObj(number -> "m" + number).toArray(String[]::new));
    }

    private List<String> called() {
        return fixture.calls.stream()
                .map(call -> call.address().replace(":1", ""))
                .toList();
    }

    @Test
    void aThirdOfTheCallsIsLeftForCommands() {
        takeOver(mostCalls + 2);
        takeoverCalls.start();
        assertEquals(mostCalls, fixture.calls.size());
    }

    @Test
    void theNextMachineIsCalledWhenACallHasEnded() {
        List<Machine> machines = takeOver(mostCalls + 2);
        takeoverCalls.start();
        fixture.calls.get(0).answer(nextHeartbeat(machines.get(0)));
        assertEquals(mostCalls + 1, fixture.calls.size());
        assertEquals("m" + mostCalls, called().get(mostCalls));
    }

    @Test
    void aMachineThatDoesNotAnswerIsCalledAgainAfterAWhile() {
        takeOver(1);
        takeoverCalls.start();
        fixture.calls.get(0).timeOut();
        fixture.timers.advance(CALL_AGAIN - 1);
        assertEquals(List.of("m0"), called());
        fixture.timers.advance(1);
        assertEquals(List.of("m0", "m0"), called());
    }

    @Test
    void aMachineThatHasAnsweredIsNotCalledAgain() {
        Machine machine = takeOver(1).get(0);
        takeoverCalls.start();
        fixture.calls.get(0).answer(nextHeartbeat(machine));
        fixture.timers.advance(CALL_AGAIN);
        assertEquals(List.of("m0"), called());
    }

    @Test
    void aMachineWhoseHeartbeatCameFirstIsNotCalled() {
        List<Machine> machines = takeOver(2);
        fixture.reconciler.reconcile(machines.get(0), nextHeartbeat(machines.get(0)), MessageOrigin.HEARTBEAT);
        takeoverCalls.start();
        assertEquals(List.of("m1"), called());
    }

    @Test
    void aMachineThatIsBeingCalledAlreadyHasItsTurnLater() {
        Machine machine = takeOver(1).get(0);
        fixture.workerCalls.callWithoutCommands(machine, () -> {});
        takeoverCalls.start();
        fixture.calls.get(0).timeOut();
        assertEquals(1, fixture.calls.size());
        fixture.timers.advance(CALL_AGAIN);
        assertEquals(2, fixture.calls.size());
    }

    @Test
    void afterTheTermNobodyIsCalled() {
        takeOver(1);
        fixture.ended = true;
        takeoverCalls.start();
        assertTrue(fixture.calls.isEmpty());
    }
}
