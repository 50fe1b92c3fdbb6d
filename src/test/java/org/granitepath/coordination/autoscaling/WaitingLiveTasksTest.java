package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests the count of tasks of other live services that can share the machines launched for one service. */
class WaitingLiveTasksTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final WaitingLiveTasks waiting = new WaitingLiveTasks();

    private ActiveJob waitingService(String id, int tasks, long cpuMillis) {
        ActiveJob job = fixture.service(id, Priority.CRITICAL)
                .tasks(tasks)
                .cpuMillis(cpuMillis)
                .build();
        waiting.add(job);
        return job;
    }

    @Test
    void countsTasksWithSameNeeds() {
        ActiveJob service = waitingService("service", 2, CPU);
        waitingService("equivalent", 3, CPU);
        assertEquals(3, waiting.removeAndCountEquivalent(service));
    }

    @Test
    void doesNotCountTasksThatNeedMore() {
        ActiveJob service = waitingService("service", 2, CPU);
        waitingService("larger", 3, 2 * CPU);
        assertEquals(0, waiting.removeAndCountEquivalent(service));
    }

    @Test
    void doesNotCountRemovedTasks() {
        ActiveJob first = waitingService("first", 2, CPU);
        ActiveJob second = waitingService("second", 3, CPU);
        waiting.removeAndCountEquivalent(first);
        assertEquals(0, waiting.removeAndCountEquivalent(second));
    }
}
