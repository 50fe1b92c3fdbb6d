package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A leader that is cut off from the state service and from the other controllers starts a task of a job after another
 * controller has told the user that the job is cancelled.
 */
final class StaleStart extends Case {
    private static final String FACTS = """
            [facts]
            initial_size = 2
            zones = ["nadi-depot", "suva-depot"]
            skew_ms = 25.0
            [[facts.teams]]
            name = "tolls-ops"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [facts.workers]
            report_s = 2.0
            lease_s = 13.0
            gang_wait_s = 50.0
            gang_peer_s = 5.0
            cancel_s = 33.0
            [facts.state]
            rps = 300.0
            write_rps = 90.0
            value_kb = 32.0
            txn_ops = 16
            [facts.cloud]
            rps = 3.0
            list_lag_s = 12.0
            [facts.resources]
            core_share = 0.544
            memory_mb = 414.0
            max_connections = 2257
            """;

    public static void main(String[] args) throws Exception {
        new StaleStart().run(args);
    }

    @Override
    boolean play(Record record, Path folder) throws Exception {
        Store store = new Store(record, 300, 90, 32, 16);
        Cloud cloud = new Cloud(
                record,
                List.of(new Cloud.Type("roadside-box", 8, 64, 0.5, 0.21, 35, List.of("nadi-depot", "suva-depot"))));
        Deployment deployment = closing(new Deployment(
                record,
                folder,
                List.of("suva-depot", "nadi-depot", "suva-depot", "nadi-depot", "suva-depot"),
                store,
                cloud,
                FACTS));
        Worker.Timing timing = new Worker.Timing(2, 13);
        for (int i = 1; i <= 2; i++) {
            deployment
                    .addWorker(cloud, "i-00000" + i, "roadside-box", i == 1 ? "suva-depot" : "nadi-depot", timing)
                    .start();
        }
        deployment.startAll();
        for (String node : deployment.addresses.keySet()) {
            require(Deployment.await(20_000, () -> deployment.isUp(node)), node + " is not up");
        }
        // Four tasks of 4 CPUs fill both machines.
        Map<String, Object> filler = Deployment.job(
                "run-000001", "trip-billing", "tolls-ops", "batch", "standard", 4, 4, 15);
        require(deployment.submit(filler, 600_000), "run-000001 is not accepted");
        require(
                Deployment.await(
                        30_000,
                        () -> deployment.workers.stream().mapToInt(Worker::liveTasks).sum() == 4),
                "run-000001 does not run");
        Map<String, Object> waiting = Deployment.job(
                "run-000002", "trip-billing", "tolls-ops", "batch", "standard", 1, 4, 15);
        require(deployment.submit(waiting, 600_000), "run-000002 is not accepted");
        String leader = (String) store.leader("node");
        require(leader != null, "no leader");
        require(
                Deployment.await(
                        20_000,
                        () -> deployment.workers.stream().allMatch(worker -> worker.supervisor().equals(leader))),
                "the workers do not report to the leader");
        List<String> others = new ArrayList<>(deployment.addresses.keySet());
        others.remove(leader);
        Thread.sleep(3_000);
        require("pending".equals(deployment.poll(leader, "run-000002").state()), "run-000002 does not wait");

        record.line("leader: %s; run-000002 waits for room", leader);
        if (TROUBLE) {
            deployment.cut(leader, true, true, true);
        }
        Thread.sleep(200);
        Thread cancel = new Thread(() -> {
            try {
                deployment.cancel(others.get(0), "run-000002");
            } catch (InterruptedException e) {
                // the case is over
            }
        });
        cancel.setDaemon(true);
        cancel.start();
        // The user looks at another node, and repeats the request there once it says that the job is cancelled.
        boolean told = Deployment.await(
                10_000,
                () -> "aborted".equals(deployment.poll(others.get(1), "run-000002").state()));
        require(told, "no node says that run-000002 is cancelled");
        Deployment.Reply confirmation = deployment.cancel(others.get(1), "run-000002");
        require(
                confirmation.status() == 200 && "aborted".equals(confirmation.state()),
                "the cancellation is not confirmed");
        long confirmed = record.line("run-000002 is confirmed as cancelled; nothing of it was started so far");
        require(
                deployment.workers.stream().noneMatch(worker -> worker.hasStarted("run-000002/0")),
                "run-000002 started before its cancellation was confirmed");
        Thread.sleep(100);
        // Room for one more task, which there was not before.
        for (Worker worker : deployment.workers) {
            for (int task = 0; task < 4; task++) {
                if (worker.holds("run-000001/" + task)) {
                    worker.finish("run-000001/" + task);
                    break;
                }
            }
        }
        boolean started = Deployment.await(
                12_000, () -> deployment.workers.stream().anyMatch(worker -> worker.hasStarted("run-000002/0")));
        if (started) {
            record.say(
                    "broken: a task of run-000002 was started %d ms after its cancellation was confirmed",
                    record.nowMillis() - confirmed);
        }
        if (TROUBLE) {
            deployment.cut(leader, true, true, false);
        }
        Thread.sleep(started ? 8_000 : 1_000);
        if (!started) {
            record.say("held: no task of run-000002 was started after its cancellation was confirmed");
        }
        return !started;
    }
}
