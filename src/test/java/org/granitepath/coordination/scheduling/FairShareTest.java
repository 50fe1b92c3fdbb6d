package org.granitepath.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

class FairShareTest {
    private final FairShare shares = new FairShare(Tuning.defaults().weights());

    private static double plainSum(int total, int left, int running) {
        double sum = 0;
        for (int i = 0; i < running; i++) {
            sum += Math.log(1 + (double) (left - i) / total);
        }
        return sum;
    }

    @Test
    void closedFormIsThePapersSum() {
        Random random = new Random(4);
        for (int n = 0; n < 2_000; n++) {
            int total = 1 + random.nextInt(n % 10 == 0 ? 100_000 : 50);
            int left = 1 + random.nextInt(total);
            int running = random.nextInt(Math.min(left, 5_000) + 1);
            double plain = plainSum(total, left, running);
            assertEquals(
                    plain,
                    FairShare.logSum(total, left, running),
                    1e-6 * (1 + plain),
                    total + " " + left + " " + running);
        }
    }

    @Test
    void boostGrowsTowardsCompletion() {
        double early = shares.share(Priority.STANDARD, true, 20, 20, 4);
        double late = shares.share(Priority.STANDARD, true, 20, 4, 4);
        assertTrue(late < early);
    }

    @Test
    void idleJobsHaveNoShareAndHigherPrioritiesALowerOne() {
        assertEquals(0, shares.share(Priority.BEST_EFFORT, false, 9, 9, 0));
        assertTrue(shares.share(Priority.HIGH, false, 9, 9, 3) < shares.share(Priority.BEST_EFFORT, false, 9, 9, 3));
    }
}
