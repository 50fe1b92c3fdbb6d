package org.granitepath.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.granitepath.loopback.History.Event;
import org.granitepath.loopback.History.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three controllers from the packaged jar and forty fake workers over real sockets. All controllers are killed at
 * once while services run and batch work is partly done, and are started again. The assertions cover order and counts;
 * times only bound how long the test waits before it fails.
 */
class ColdRestartIT {
    private static final int WORKERS = 40;
    private static final int SERVICES = 10;
    private static final int REPLICAS = 4;
    private static final int BATCH_JOBS = 4;
    private static final int BATCH_TASKS = 80;
    private static final long BATCH_MILLIS = 3_000;
    private static final long TIMEOUT_MILLIS = 150_000;

    private interface Condition {
        boolean holds() throws InterruptedException;
    }

    private static void await(Cluster cluster, String what, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                fail("timed out waiting until " + what);
            }
            cluster.assertControllersRun();
            Thread.sleep(50);
        }
    }

    private static String jobId(int number) {
        return String.format("run-%06d", number);
    }

    private static List<String> batchJobs() {
        return Stream.iterate(SERVICES, number -> number + 1)
                .limit(BATCH_JOBS)
                .map(ColdRestartIT::jobId)
                .toList();
    }

    /** Starts the cluster and waits until all services run and about a third of the batch work is done. */
    private static void bringUp(Cluster cluster) throws Exception {
        cluster.startControllers();
        cluster.startWorkers();
        for (int i = 0; i < SERVICES; i++) {
            cluster.submit(new Cluster.Job(jobId(i), true, REPLICAS, 1, 0));
        }
        for (String job : batchJobs()) {
            cluster.submit(new Cluster.Job(job, false, BATCH_TASKS, 2, BATCH_MILLIS));
        }
        await(cluster, "all services run", () -> cluster.history.running(cluster::isService) == SERVICES * REPLICAS);
        int third = BATCH_JOBS * BATCH_TASKS / 3;
        await(
                cluster,
                "a third of the batch work is done",
                () -> cluster.history.completed(job -> !cluster.isService(job)) > third);
    }

    /** Ends the replicas on half of the workers that hold any. Which workers hold replicas differs from run to run. */
    private static void loseReplicas(Cluster cluster) {
        List<FakeWorker> workersWithReplicas = cluster.workers.stream()
                .filter(worker -> worker.holds(cluster::isService))
                .toList();
        workersWithReplicas.stream()
                .limit((workersWithReplicas.size() + 1) / 2)
                .forEach(worker -> worker.endTasks(cluster::isService));
    }

    private static void awaitRecovered(Cluster cluster) throws InterruptedException {
        await(cluster, "one controller leads and has recovered", () -> {
            int leading = 0;
            for (ControllerProcess controller : cluster.controllers) {
                var status = controller.recovery().body();
                leading += "leading".equals(status.get("role")) && "recovered".equals(status.get("phase")) ? 1 : 0;
            }
            return leading == 1;
        });
    }

    private static void awaitAllWorkDone(Cluster cluster) throws InterruptedException {
        await(
                cluster,
                "all services run again",
                () -> cluster.history.running(cluster::isService) == SERVICES * REPLICAS);
        for (String job : batchJobs()) {
            await(cluster, job + " is done", () -> cluster.isDone(job));
        }
    }

    /** Asserts that each lost replica is commanded to start before any batch task is. */
    private static void assertServicesFirst(Cluster cluster, List<Event> events) {
        Set<String> lost = new HashSet<>();
        List<String> commanded = new ArrayList<>();
        int firstBatch = -1;
        for (Event event : events) {
            if (event.kind() == Kind.STOPPED && cluster.isService(event.job())) {
                lost.add(event.task());
            } else if (event.kind() == Kind.START_RECEIVED && cluster.isService(event.job())) {
                commanded.add(event.task());
            } else if (event.kind() == Kind.START_RECEIVED && firstBatch < 0) {
                firstBatch = commanded.size();
            }
        }
        assertTrue(lost.size() > 0, "no replica was lost");
        assertTrue(firstBatch >= 0, "no batch work was left to start");
        assertEquals(lost, new HashSet<>(commanded.subList(0, firstBatch)), "replicas commanded before any batch task");
    }

    @Test
    void servicesStartFirstAfterAllControllersAreKilled(@TempDir Path dir) throws Exception {
        Files.createDirectories(dir);
        try (Cluster cluster = new Cluster(dir, WORKERS)) {
            bringUp(cluster);

            cluster.killControllers();
            int restart = cluster.history.position();
            loseReplicas(cluster);
            cluster.startControllers();
            awaitAllWorkDone(cluster);
            awaitRecovered(cluster);

            assertServicesFirst(cluster, cluster.history.since(restart));
            assertEquals(List.of(), cluster.history.violations());
        }
    }

    /** The store is unavailable when the controllers restart, and all are killed once more during the recovery. */
    @Test
    void servicesStartFirstAfterSecondKillDuringRecovery(@TempDir Path dir) throws Exception {
        try (Cluster cluster = new Cluster(dir, WORKERS)) {
            bringUp(cluster);

            cluster.killControllers();
            cluster.store.setUnavailable(true);
            int restart = cluster.history.position();
            loseReplicas(cluster);
            cluster.startControllers();
            Thread.sleep(1_000);
            cluster.store.setUnavailable(false);
            await(
                    cluster,
                    "the new leader has sent a start command",
                    () -> cluster.history.since(restart).stream()
                            .anyMatch(event -> event.kind() == Kind.START_RECEIVED));
            cluster.killControllers();
            cluster.startControllers();
            awaitAllWorkDone(cluster);
            awaitRecovered(cluster);

            assertServicesFirst(cluster, cluster.history.since(restart));
            assertEquals(List.of(), cluster.history.violations());
        }
    }
}
