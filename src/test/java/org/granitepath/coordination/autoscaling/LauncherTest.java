package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableRangeSet;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;

/** One launch after the other, whatever the cloud answers. */
class LauncherTest {
    private static final long TOKEN = 7;

    private final KeptRequests cloud = new KeptRequests();
    private final ManualTimers timers = new ManualTimers();
    private final BootingMachines booting = new BootingMachines();
    private final long startMicros = timers.nowMicros();
    private final List<Long> answeredMicros = new ArrayList<>();
    private final Offer offer = new Offer(Examples.TYPE, "a", true, job());
    private boolean ended;
    private final Launcher launcher = new Launcher(cloud, timers, TOKEN, booting, () -> ended);

    private static ActiveJob job() {
        JobRecord record = new JobRecord(Examples.batch(), 0, 0, TOKEN);
        return new ActiveJob(record, new ProgressRecord("n0", 0, ImmutableRangeSet.of(), 0), 0);
    }

    private void launch(int count) {
        launcher.launch(new PlannedLaunch(offer, count), 0, answeredMicros::add);
    }

    @Test
    void launchedMachinesBoot() {
        launch(2);
        assertTrue(launcher.underWay());
        cloud.answerLaunch(CloudPort.Outcome.OK, "i-1", "i-2");
        assertFalse(launcher.underWay());
        assertTrue(booting.contains("i-1") && booting.contains("i-2"));
        assertFalse(launcher.refusedLately(offer.key()));
        assertEquals(List.of(startMicros), answeredMicros);
    }

    @Test
    void aRequestBringsABoundedNumberUnderAKeyOfItsOwn() {
        launch(1_000);
        cloud.answerLaunch(CloudPort.Outcome.NO_CAPACITY);
        launch(1);
        assertEquals(50, cloud.launches.get(0).count());
        assertEquals(
                List.of("b7-1", "b7-2"),
                cloud.launches.stream()
                        .map(CloudPort.LaunchRequest::idempotencyKey)
                        .toList());
    }

    @Test
    void offersWithoutCapacityAreAvoidedForAWhile() {
        launch(2);
        cloud.answerLaunch(CloudPort.Outcome.OK, "i-1");
        assertTrue(launcher.refusedLately(offer.key()), "it brought fewer than asked for");
        launcher.forgetOldRefusals(startMicros + 15 * Examples.SECOND_MICROS);
        assertTrue(launcher.refusedLately(offer.key()));
        launcher.forgetOldRefusals(startMicros + 15 * Examples.SECOND_MICROS + 1);
        assertFalse(launcher.refusedLately(offer.key()));
    }

    @Test
    void withoutADefiniteAnswerTheSameRequestIsRepeated() {
        launch(2);
        IntStream.range(0, 20).forEach(repeat -> {
            cloud.answerLaunch(CloudPort.Outcome.UNKNOWN);
            timers.advance(Examples.SECOND_MICROS);
        });
        assertTrue(launcher.underWay());
        cloud.answerLaunch(CloudPort.Outcome.REFUSED);
        assertFalse(launcher.underWay(), "given up after 20 repeats");
        assertTrue(timers.isIdle());
        assertEquals(21, cloud.launches.size());
        assertEquals(1, cloud.launches.stream().distinct().count());
        assertEquals(List.of(), answeredMicros);
    }

    @Test
    void afterTheTermAnswersChangeNothing() {
        launch(1);
        ended = true;
        cloud.answerLaunch(CloudPort.Outcome.OK, "i-1");
        assertEquals(0, booting.size());
        assertEquals(List.of(), answeredMicros);
    }
}
