package org.granitepath.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.granitepath.loopback.ControllerProcess.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Users whose requests arrive in several packets, at controllers from the packaged jar. Guards against answers that are
 * sent before the requests have been handled: an early 200 tells a user that a job is accepted which is not on record.
 */
class FragmentedRequestsIT {
    /** {@code -Dgranitepath.soakSeconds=N} selects a longer run, {@code -Dgranitepath.soakSeed=S} other faults. */
    private static final long SOAK_SECONDS = Long.getLong("granitepath.soakSeconds", 25);

    private static final long SOAK_SEED = Long.getLong("granitepath.soakSeed", 1);

    private static final int WORKERS = 8;
    private static final int USERS = 6;
    private static final int MAX_FAULT_MILLIS = 3_000;
    /** A user repeats a request for this long at most. */
    private static final long RETRY_MILLIS = 60_000;

    private static final long RETRY_DELAY_MILLIS = 1_000;
    /** A job about which no question is answered for this long counts as forgotten. */
    private static final long FORGOTTEN_MILLIS = 75_000;

    private static final Set<String> FINAL_STATES = Set.of("done", "aborted");

    private static Cluster.Job job(int number) {
        return new Cluster.Job(String.format("run-%06d", number), false, 2, 1, 500);
    }

    private static Cluster startCluster(Path dir) throws Exception {
        Cluster cluster = new Cluster(dir, WORKERS);
        cluster.startControllers();
        cluster.startWorkers();
        cluster.submit(job(0));
        return cluster;
    }

    private static boolean isRetried(int status) {
        return status != 200 && status != 201 && status != 400 && status != 404 && status != 422;
    }

    /** Sends a request to one controller after the other until one answers it. Returns the last answer. */
    private static Reply post(Cluster cluster, String path, String body, Random random) throws InterruptedException {
        long end = System.nanoTime() + RETRY_MILLIS * 1_000_000;
        while (true) {
            String address = cluster.controllers
                    .get(random.nextInt(cluster.controllers.size()))
                    .address();
            Reply reply = FragmentedRequest.post(address, path, body, random);
            if (!isRetried(reply.status()) || System.nanoTime() - end > 0) {
                return reply;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private static Reply cancel(Cluster cluster, String job, Random random) throws InterruptedException {
        return post(cluster, "/submissions/" + job + "/cancel", "{}", random);
    }

    @Test
    void requestsInSeveralPacketsGetTheSameAnswersAsWholeOnes(@TempDir Path dir) throws Exception {
        Random random = new Random(SOAK_SEED);
        String known = job(1).submission();
        try (Cluster cluster = startCluster(dir)) {
            Reply accepted = post(cluster, "/submissions", known, random);
            assertEquals(201, accepted.status());
            assertEquals(job(1).id(), accepted.body().get("uid"));
            Reply repeated = post(cluster, "/submissions", known, random);
            assertEquals(200, repeated.status());
            assertEquals(job(1).id(), repeated.body().get("uid"));

            String unknownTeam = job(2).submission().replace("\"team\"", "\"nobody\"");
            assertEquals(422, post(cluster, "/submissions", unknownTeam, random).status());
            assertEquals(400, post(cluster, "/submissions", "{\"uid\":", random).status());
            assertEquals(404, cancel(cluster, job(3).id(), random).status());

            Cluster.Job service = new Cluster.Job(job(4).id(), true, 1, 1, 0);
            assertEquals(
                    201,
                    post(cluster, "/submissions", service.submission(), random).status());
            Reply cancelled = cancel(cluster, service.id(), random);
            assertEquals(200, cancelled.status());
            assertEquals("aborted", cancelled.body().get("status"));
        }
    }

    /** One user: submits jobs one after the other and cancels some, until the faults are over. */
    private static final class User {
        private final Cluster cluster;
        private final Random random;
        private final int firstNumber;
        /** The last state that a controller has told this user, by job. */
        private final Map<String, String> toldStates = new TreeMap<>();

        private final List<String> violations = new ArrayList<>();

        User(Cluster cluster, int number) {
            this.cluster = cluster;
            this.random = new Random(SOAK_SEED * USERS + number);
            this.firstNumber = 1 + number * 100_000;
        }

        User submitUntil(long endNanos) throws InterruptedException {
            for (int number = firstNumber; System.nanoTime() - endNanos < 0; number++) {
                Cluster.Job job = job(number);
                String id = job.id();
                cluster.announce(job);
                record(id, post(cluster, "/submissions", job.submission(), random));
                if (toldStates.containsKey(id) && random.nextInt(3) == 0) {
                    record(id, cancel(cluster, id, random));
                }
                Thread.sleep(random.nextInt(500));
            }
            return this;
        }

        private void record(String id, Reply reply) {
            if (isRetried(reply.status())) {
                return; // The user has given up.
            }
            if (reply.status() >= 300 || !id.equals(reply.body().get("uid"))) {
                violations.add(id + ": answered with " + reply);
            }
            toldStates.put(id, String.valueOf(reply.body().get("status")));
        }

        /** Polls each job at each controller, which has to know it and must not contradict a final state. */
        void checkJobs() throws InterruptedException {
            for (Map.Entry<String, String> told : toldStates.entrySet()) {
                for (ControllerProcess controller : cluster.controllers) {
                    Reply reply = awaitAnswer(controller, "/submissions/" + told.getKey());
                    Object state = reply.body().get("status");
                    boolean contradicted = FINAL_STATES.contains(told.getValue())
                            && !told.getValue().equals(state);
                    if (reply.status() != 200 || contradicted) {
                        violations.add(told + " was told, then " + reply + " by " + controller.address());
                    }
                }
            }
        }

        private static Reply awaitAnswer(ControllerProcess controller, String path) throws InterruptedException {
            long end = System.nanoTime() + FORGOTTEN_MILLIS * 1_000_000;
            Reply reply = controller.get(path);
            while (isRetried(reply.status()) && System.nanoTime() - end < 0) {
                Thread.sleep(RETRY_DELAY_MILLIS);
                reply = controller.get(path);
            }
            return reply;
        }
    }

    /** Makes the store unavailable and kills controllers, in turn and for random times, until {@code endNanos}. */
    private static void injectFaults(Cluster cluster, long endNanos) throws Exception {
        Random random = new Random(SOAK_SEED);
        for (int fault = 0; System.nanoTime() - endNanos < 0; fault++) {
            Thread.sleep(random.nextInt(MAX_FAULT_MILLIS));
            if (fault % 3 == 2) {
                ControllerProcess controller = cluster.controllers.get(random.nextInt(cluster.controllers.size()));
                controller.kill();
                controller.start();
            } else {
                cluster.store.setUnavailable(true);
                Thread.sleep(random.nextInt(MAX_FAULT_MILLIS));
                cluster.store.setUnavailable(false);
            }
        }
    }

    /** No job may be forgotten that a user was told is accepted, whichever way the request arrived. */
    @Test
    void acceptedJobsAreKnownAfterOutagesAndCrashes(@TempDir Path dir) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(USERS);
        try (Cluster cluster = startCluster(dir)) {
            long end = System.nanoTime() + SOAK_SECONDS * 1_000_000_000;
            List<Future<User>> users = new ArrayList<>();
            for (int i = 0; i < USERS; i++) {
                User user = new User(cluster, i);
                users.add(threads.submit(() -> user.submitUntil(end)));
            }
            injectFaults(cluster, end);

            List<String> violations = new ArrayList<>();
            int jobs = 0;
            for (Future<User> running : users) {
                User user = running.get();
                user.checkJobs();
                violations.addAll(user.violations);
                jobs += user.toldStates.size();
            }
            System.out.println("soak: seed " + SOAK_SEED + ", " + SOAK_SECONDS + " s, " + jobs + " accepted jobs, "
                    + violations.size() + " violations");
            assertFalse(jobs < USERS, "only " + jobs + " accepted jobs");
            assertEquals(List.of(), violations);
        } finally {
            threads.shutdownNow();
        }
    }
}
