package org.granitepath.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests the closed form of the fair share and the effect of priority and progress on it. */
class FairShareTest {
    private final FairShare shares = new FairShare(Tuning.defaults().weights());

    /** The sum as the paper defines it. */
    private static double sumOfThePaper(int totalTasks, int unfinishedTasks, int runningTasks) {
        double sum = 0;
        for (int i = 0; i < runningTasks; i++) {
            sum += Math.log(1 + (double) (unfinishedTasks - i) / totalTasks);
        }
        return sum;
    }

    @Test
    void closedFormEqualsTheSumOfThePaper() {
        Random random = new Random(4);
        for (int n = 0; n < 2_000; n++) {
            int totalTasks = 1 + random.nextInt(n % 10 == 0 ? 100_000 : 50);
            int unfinishedTasks = 1 + random.nextInt(totalTasks);
            int runningTasks = random.nextInt(Math.min(unfinishedTasks, 5_000) + 1);
            double expected = sumOfThePaper(totalTasks, unfinishedTasks, runningTasks);
            assertEquals(
                    expected,
                    FairShare.logSum(totalTasks, unfinishedTasks, runningTasks),
                    1e-6 * (1 + expected),
                    totalTasks + " " + unfinishedTasks + " " + runningTasks);
        }
    }

    @Test
    void shareOfAJobWithDeadlineFallsTowardsCompletion() {
        double early = shares.share(Priority.STANDARD, true, 20, 20, 4);
        double late = shares.share(Priority.STANDARD, true, 20, 4, 4);
        assertTrue(late < early);
    }

    @Test
    void idleJobHasShareZeroAndHigherPriorityLowersTheShare() {
        assertEquals(0, shares.share(Priority.BEST_EFFORT, false, 9, 9, 0));
        assertTrue(shares.share(Priority.HIGH, false, 9, 9, 3) < shares.share(Priority.BEST_EFFORT, false, 9, 9, 3));
    }
}
