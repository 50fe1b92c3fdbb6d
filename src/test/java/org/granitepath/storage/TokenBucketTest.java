package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;

/** The bucket refills at its rate, which follows refusals only if the rate control is adaptive. */
class TokenBucketTest {
    private static final double SHARE_PER_SECOND = 10;

    @Test
    void theBucketHoldsTheTokensOfOneSecondAndRefillsAtItsRate() {
        TokenBucket bucket = new TokenBucket(SHARE_PER_SECOND, RateControl.FIXED, 0);
        bucket.take(10);
        assertFalse(bucket.hasToken());
        assertEquals(100_001, bucket.microsUntilToken());
        bucket.refill(100_001);
        assertTrue(bucket.hasToken());
        bucket.refill(60_000_000);
        assertEquals(SHARE_PER_SECOND, bucket.tokens());
    }

    @Test
    void anAdaptiveRateIsHalvedAfterARefusalAndRisesInSteps() {
        TokenBucket bucket = new TokenBucket(SHARE_PER_SECOND, RateControl.ADAPTIVE, 0);
        bucket.take(10);
        bucket.adaptRate(Outcome.REFUSED);
        assertEquals(200_001, bucket.microsUntilToken());
        bucket.adaptRate(Outcome.OK);
        assertEquals((long) (1e6 / 5.1) + 1, bucket.microsUntilToken());
        for (int i = 0; i < 100; i++) {
            bucket.adaptRate(Outcome.CONFLICT);
        }
        assertEquals(100_001, bucket.microsUntilToken());
        for (int i = 0; i < 100; i++) {
            bucket.adaptRate(Outcome.REFUSED);
        }
        assertEquals((long) (1e6 / 0.3) + 1, bucket.microsUntilToken());
    }

    @Test
    void aFixedRateStaysTheSameAfterARefusal() {
        TokenBucket bucket = new TokenBucket(SHARE_PER_SECOND, RateControl.FIXED, 0);
        bucket.take(10);
        bucket.adaptRate(Outcome.REFUSED);
        assertEquals(100_001, bucket.microsUntilToken());
        assertEquals(SHARE_PER_SECOND, bucket.sharePerSecond());
    }
}
