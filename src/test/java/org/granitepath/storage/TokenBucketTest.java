package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final double SHARE = 10;

    @Test
    void holdsOneSecondsWorthAndRefillsAtItsRate() {
        TokenBucket bucket = new TokenBucket(SHARE, RateControl.FIXED, 0);
        bucket.take(10);
        assertFalse(bucket.allowsOne());
        assertEquals(100_001, bucket.microsUntilOne());
        bucket.refill(100_001);
        assertTrue(bucket.allowsOne());
        bucket.refill(60_000_000);
        assertEquals(SHARE, bucket.tokens());
    }

    @Test
    void adaptiveRateIsHalvedWhenRefusedAndComesBackStepByStep() {
        TokenBucket bucket = new TokenBucket(SHARE, RateControl.ADAPTIVE, 0);
        bucket.take(10);
        bucket.adapt(Outcome.REFUSED);
        assertEquals(200_001, bucket.microsUntilOne());
        bucket.adapt(Outcome.OK);
        assertEquals((long) (1e6 / 5.1) + 1, bucket.microsUntilOne());
        for (int i = 0; i < 100; i++) {
            bucket.adapt(Outcome.CONFLICT);
        }
        assertEquals(100_001, bucket.microsUntilOne());
        for (int i = 0; i < 100; i++) {
            bucket.adapt(Outcome.REFUSED);
        }
        assertEquals((long) (1e6 / 0.3) + 1, bucket.microsUntilOne());
    }

    @Test
    void fixedRateStaysWhenRefused() {
        TokenBucket bucket = new TokenBucket(SHARE, RateControl.FIXED, 0);
        bucket.take(10);
        bucket.adapt(Outcome.REFUSED);
        assertEquals(100_001, bucket.microsUntilOne());
        assertEquals(SHARE, bucket.sharePerSecond());
    }
}
