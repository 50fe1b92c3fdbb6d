package org.granitepath.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.ScriptedStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LeaderLeaseTest {
    private static final long LEASE = 17;
    private static final long LIFE = 12_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> told = new ArrayList<>();
    private final long openedMicros = timers.nowMicros();
    private final LeaderLease lease =
            new LeaderLease(store, timers, LEASE, LIFE, openedMicros, new LeaderLease.Listener() {
                @Override
                public void renewed() {
                    told.add("renewed");
                }

                @Override
                public void expired() {
                    told.add("expired");
                }
            });

    private void renewIfDueAfter(long micros) {
        timers.advance(micros);
        lease.renewIfDue(timers.nowMicros());
    }

    private void answer(Outcome outcome) {
        store.renewals.remove().answer().accept(outcome);
    }

    @Test
    void theFirstRenewalIsDueAfterAThirdOfTheLife() {
        renewIfDueAfter(LIFE / 3 - 1);
        assertTrue(store.renewals.isEmpty());
        renewIfDueAfter(1);
        assertEquals(LEASE, store.renewals.remove().lease());
    }

    @Test
    void theNextRenewalIsDueAQuarterOfTheLifeAfterTheLastWasSent() {
        renewIfDueAfter(LIFE / 3);
        answer(Outcome.OK);
        renewIfDueAfter(LIFE / 4 - 1);
        assertTrue(store.renewals.isEmpty());
        renewIfDueAfter(1);
        assertEquals(1, store.renewals.size());
    }

    @Test
    void oneRenewalIsUnderWayAtATime() {
        renewIfDueAfter(LIFE / 3);
        renewIfDueAfter(LIFE);
        assertEquals(1, store.renewals.size());
    }

    @Test
    void beforeAnyRenewalItIsConfirmedAsOfItsOpening() {
        assertEquals(openedMicros, lease.lastConfirmedMicros());
    }

    @Test
    void aRenewalConfirmsItAsOfWhenItWasSent() {
        renewIfDueAfter(LIFE / 3);
        timers.advance(LIFE / 3);
        answer(Outcome.OK);
        assertEquals(openedMicros + LIFE / 3, lease.lastConfirmedMicros());
        assertEquals(List.of("renewed"), told);
    }

    @Test
    void aLeaseThatTheStoreDoesNotKnowHasExpired() {
        renewIfDueAfter(LIFE / 3);
        answer(Outcome.NOT_FOUND);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
        assertEquals(List.of("expired"), told);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"OK", "NOT_FOUND"})
    void aRenewalWithoutAnAnswerTellsNothingAndIsSentAgain(Outcome outcome) {
        renewIfDueAfter(LIFE / 3);
        answer(outcome);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
        assertEquals(List.of(), told);
        renewIfDueAfter(LIFE / 4);
        assertEquals(1, store.renewals.size());
    }

    @ParameterizedTest
    @EnumSource
    void anAnswerAfterTheTermHasEndedMeansNothing(Outcome outcome) {
        renewIfDueAfter(LIFE / 3);
        lease.release();
        answer(outcome);
        assertEquals(List.of(), told);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
    }
}
