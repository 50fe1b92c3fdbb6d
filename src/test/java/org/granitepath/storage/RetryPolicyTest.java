package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.RetryPolicy.Action;
import org.granitepath.storage.RetryPolicy.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    @Test
    void aSingleRejectedWriteIsAbandoned() {
        RetryPolicy policy = new RetryPolicy(8, RateControl.FIXED);
        assertEquals(new Decision(Action.ABANDON, 100_000), policy.failed(Outcome.INVALID, 1, 3));
        assertEquals(8, policy.largestTransaction());
    }

    @Test
    void rejectedWritesAreSentOneByOne() {
        RetryPolicy policy = new RetryPolicy(8, RateControl.FIXED);
        assertEquals(new Decision(Action.SEND_AGAIN, 100_000), policy.failed(Outcome.INVALID, 2, 3));
        assertEquals(1, policy.largestTransaction());
        policy.committed();
        assertEquals(2, policy.largestTransaction());
    }

    @ParameterizedTest
    @EnumSource
    void refusedTransactionsShrink(RateControl control) {
        RetryPolicy policy = new RetryPolicy(8, control);
        long delayMicros = control == RateControl.ADAPTIVE ? 300_000 : 100_000;
        assertEquals(new Decision(Action.SEND_AGAIN, delayMicros), policy.failed(Outcome.REFUSED, 2, 8));
        assertEquals(4, policy.largestTransaction());
        assertEquals(new Decision(Action.SEND_AGAIN, delayMicros), policy.failed(Outcome.REFUSED, 1, 1));
        assertEquals(1, policy.largestTransaction());
        for (int i = 0; i < 20; i++) {
            policy.committed();
        }
        assertEquals(8, policy.largestTransaction());
    }

    @ParameterizedTest
    @EnumSource(names = {"CONFLICT", "UNKNOWN", "GONE", "NOT_FOUND"})
    void whatMayHaveBeenWrittenIsReadBack(Outcome outcome) {
        RetryPolicy policy = new RetryPolicy(8, RateControl.ADAPTIVE);
        long delayMicros = outcome == Outcome.CONFLICT ? 0 : 300_000;
        assertEquals(new Decision(Action.READ_BACK, delayMicros), policy.failed(outcome, 2, 8));
        assertEquals(8, policy.largestTransaction());
    }
}
