package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.RetryPolicy.Action;
import org.granitepath.storage.RetryPolicy.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The policy abandons, repeats or checks a transaction that was not committed, and limits the size of later ones. */
class RetryPolicyTest {
    @Test
    void aSingleInvalidWriteIsAbandoned() {
        RetryPolicy policy = new RetryPolicy(8, RateControl.FIXED);
        assertEquals(new Decision(Action.ABANDON, 100_000), policy.onFailed(Outcome.INVALID, 1, 3));
        assertEquals(8, policy.maxChanges());
    }

    @Test
    void writesOfAnInvalidTransactionAreSentOneByOne() {
        RetryPolicy policy = new RetryPolicy(8, RateControl.FIXED);
        assertEquals(new Decision(Action.SEND_AGAIN, 100_000), policy.onFailed(Outcome.INVALID, 2, 3));
        assertEquals(1, policy.maxChanges());
        policy.onCommitted();
        assertEquals(2, policy.maxChanges());
    }

    @ParameterizedTest
    @EnumSource
    void refusedTransactionsReduceTheLimit(RateControl control) {
        RetryPolicy policy = new RetryPolicy(8, control);
        long delayMicros = control == RateControl.ADAPTIVE ? 300_000 : 100_000;
        assertEquals(new Decision(Action.SEND_AGAIN, delayMicros), policy.onFailed(Outcome.REFUSED, 2, 8));
        assertEquals(4, policy.maxChanges());
        assertEquals(new Decision(Action.SEND_AGAIN, delayMicros), policy.onFailed(Outcome.REFUSED, 1, 1));
        assertEquals(1, policy.maxChanges());
        for (int i = 0; i < 20; i++) {
            policy.onCommitted();
        }
        assertEquals(8, policy.maxChanges());
    }

    @ParameterizedTest
    @EnumSource(names = {"CONFLICT", "UNKNOWN", "GONE", "NOT_FOUND"})
    void aTransactionThatMayHaveBeenCommittedIsReadBack(Outcome outcome) {
        RetryPolicy policy = new RetryPolicy(8, RateControl.ADAPTIVE);
        long delayMicros = outcome == Outcome.CONFLICT ? 0 : 300_000;
        assertEquals(new Decision(Action.READ_BACK, delayMicros), policy.onFailed(outcome, 2, 8));
        assertEquals(8, policy.maxChanges());
    }
}
