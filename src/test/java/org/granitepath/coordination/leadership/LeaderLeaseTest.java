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

/** When the leader lease is renewed, and what the answers to renewals mean. */
class LeaderLeaseTest {
    private static final long LEASE = 17;
    private static final long DURATION_MICROS = 12_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> events = new ArrayList<>();
    private final long openedMicros = timers.nowMicros();
    private final LeaderLease lease =
            new LeaderLease(store, timers, LEASE, DURATION_MICROS, openedMicros, new LeaderLease.Listener() {
                @Override
                public void onRenewed() {
                    events.add("renewed");
                }

                @Override
                public void onExpired() {
                    events.add("expired");
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
    void theFirstRenewalIsDueAfterAThirdOfTheDuration() {
        renewIfDueAfter(DURATION_MICROS / 3 - 1);
        assertTrue(store.renewals.isEmpty());
        renewIfDueAfter(1);
        assertEquals(LEASE, store.renewals.remove().leaseId());
    }

    @Test
    void theNextRenewalIsDueAQuarterOfTheDurationAfterTheLastWasSent() {
        renewIfDueAfter(DURATION_MICROS / 3);
        answer(Outcome.OK);
        renewIfDueAfter(DURATION_MICROS / 4 - 1);
        assertTrue(store.renewals.isEmpty());
        renewIfDueAfter(1);
        assertEquals(1, store.renewals.size());
    }

    @Test
    void onlyOneRenewalIsInProgress() {
        renewIfDueAfter(DURATION_MICROS / 3);
        renewIfDueAfter(DURATION_MICROS);
        assertEquals(1, store.renewals.size());
    }

    @Test
    void beforeAnyRenewalTheOpeningCountsAsConfirmation() {
        assertEquals(openedMicros, lease.lastConfirmedMicros());
    }

    @Test
    void aRenewalConfirmsTheLeaseAsOfTheTimeItWasSent() {
        renewIfDueAfter(DURATION_MICROS / 3);
        timers.advance(DURATION_MICROS / 3);
        answer(Outcome.OK);
        assertEquals(openedMicros + DURATION_MICROS / 3, lease.lastConfirmedMicros());
        assertEquals(List.of("renewed"), events);
    }

    @Test
    void aLeaseThatTheStoreDoesNotKnowHasExpired() {
        renewIfDueAfter(DURATION_MICROS / 3);
        answer(Outcome.NOT_FOUND);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
        assertEquals(List.of("expired"), events);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"OK", "NOT_FOUND"})
    void aRenewalWithoutAnAnswerIsNotReportedAndIsSentAgain(Outcome outcome) {
        renewIfDueAfter(DURATION_MICROS / 3);
        answer(outcome);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
        assertEquals(List.of(), events);
        renewIfDueAfter(DURATION_MICROS / 4);
        assertEquals(1, store.renewals.size());
    }

    @ParameterizedTest
    @EnumSource
    void anAnswerAfterTheTermHasEndedIsIgnored(Outcome outcome) {
        renewIfDueAfter(DURATION_MICROS / 3);
        lease.abandon();
        answer(outcome);
        assertEquals(List.of(), events);
        assertEquals(openedMicros, lease.lastConfirmedMicros());
    }
}
