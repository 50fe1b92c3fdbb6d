package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.autoscaling.Examples.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.CloudPort.ListedMachine;
import org.granitepath.coordination.ports.CloudPort.MachineState;
import org.granitepath.coordination.ports.CloudPort.Outcome;
import org.junit.jupiter.api.Test;

/** What the cloud's list tells of machines that boot, and when it is read. */
class MachineListerTest {
    private static final double ENOUGH_REQUESTS_PER_SECOND = 100;

    private final KeptRequests cloud = new KeptRequests();
    private final ManualTimers timers = new ManualTimers();
    private final CloudRequestBudget budget = new CloudRequestBudget(ENOUGH_REQUESTS_PER_SECOND, timers.nowMicros());
    private final BootingMachines booting = new BootingMachines();
    private final Fleet fleet = new Fleet(TestConfigs.of("c1", "c1-1"), timers);
    private boolean ended;
    private final MachineLister lister =
            new MachineLister(fleet, booting, Set.of("terminated")::contains, cloud, budget, timers, () -> ended);

    MachineListerTest() {
        fleet.updateTypes(List.of(Examples.TYPE));
    }

    private static ListedMachine listed(String id, MachineState state, long ageMicros) {
        return new ListedMachine(id, id + ":1", Examples.TYPE.name(), "a", true, state, ageMicros);
    }

    private static ListedMachine listed(String id) {
        return listed(id, MachineState.BOOTING, 0);
    }

    private void list() {
        lister.listIfDue(timers.nowMicros());
    }

    @Test
    void aListedMachineBootsSinceItsLaunch() {
        list();
        cloud.answerList(Outcome.OK, false, listed("i-1", MachineState.BOOTING, 7 * SECOND_MICROS));
        assertEquals(
                List.of(new BootingMachine("i-1", Examples.TYPE, "a", true, timers.nowMicros() - 7 * SECOND_MICROS)),
                List.copyOf(booting.all()));
    }

    @Test
    void aMachineThatFailedIsToBeTerminatedAtOnce() {
        list();
        cloud.answerList(Outcome.OK, false, listed("i-1", MachineState.FAILED, 0));
        BootingMachine machine = booting.all().iterator().next();
        assertTrue(machine.failedToBoot(timers.nowMicros()));
    }

    @Test
    void machinesOfTheFleetDoNotBoot() {
        fleet.add(new Machine("joined", "joined:1", Examples.TYPE.name(), "a", true));
        list();
        cloud.answerList(Outcome.OK, false, listed("joined"));
        assertEquals(0, booting.size());
    }

    @Test
    void anOutdatedListBringsNoTerminatedMachineBack() {
        list();
        cloud.answerList(Outcome.OK, false, listed("terminated"));
        assertEquals(0, booting.size());
    }

    @Test
    void aMachineOfAnUnknownTypeIsLeftOut() {
        list();
        ListedMachine unknown = new ListedMachine("i-1", "i-1:1", "unknown", "a", true, MachineState.BOOTING, 0);
        cloud.answerList(Outcome.OK, false, unknown);
        assertEquals(0, booting.size());
    }

    @Test
    void aMachineThatBootsKeepsItsLaunchTime() {
        BootingMachine known = new BootingMachine("i-1", Examples.TYPE, "a", true, 5);
        booting.add(known);
        list();
        cloud.answerList(Outcome.OK, false, listed("i-1"));
        assertEquals(List.of(known), List.copyOf(booting.all()));
    }

    @Test
    void theListIsReadPageByPage() {
        list();
        cloud.answerList(Outcome.OK, true, listed("i-1"), listed("i-2"));
        assertFalse(lister.listedOnce());
        cloud.answerList(Outcome.OK, false, listed("i-3"));
        assertTrue(lister.listedOnce());
        assertEquals(List.of("", "i-2"), cloud.listedAfter);
        assertEquals(3, booting.size());
    }

    @Test
    void aFullListIsReadAgainAfterSixSeconds() {
        list();
        cloud.answerList(Outcome.OK, false);
        assertListedAgainAfter(6 * SECOND_MICROS);
    }

    @Test
    void aListThatFailedIsReadAgainAfterTwoSeconds() {
        list();
        cloud.answerList(Outcome.UNKNOWN, false);
        assertFalse(lister.listedOnce());
        assertListedAgainAfter(2 * SECOND_MICROS);
    }

    private void assertListedAgainAfter(long micros) {
        timers.advance(micros - 1);
        list();
        assertEquals(1, cloud.listedAfter.size());
        timers.advance(1);
        list();
        assertEquals(2, cloud.listedAfter.size());
    }

    @Test
    void oneListIsReadAtATime() {
        list();
        timers.advance(60 * SECOND_MICROS);
        list();
        assertEquals(1, cloud.listedAfter.size());
    }

    @Test
    void withoutBudgetTheListIsNotRead() {
        budget.tryTake(timers.nowMicros());
        list();
        assertEquals(0, cloud.listedAfter.size());
    }

    @Test
    void afterTheTermAnswersChangeNothing() {
        list();
        ended = true;
        cloud.answerList(Outcome.OK, false, listed("i-1"));
        assertEquals(0, booting.size());
        assertFalse(lister.listedOnce());
    }
}
