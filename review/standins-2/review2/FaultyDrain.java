package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A machine fails every task that it starts while jobs arrive. It is drained as faulty, and a job whose task was just
 * assigned to it, but not sent yet, never starts anywhere.
 */
final class FaultyDrain extends Case {
    /** The time that a worker takes before it executes a direct command. */
    private static final int COMMAND_MILLIS = 150;

    private static final int JOBS = 4;

    private static final String FACTS = """
            [facts]
            initial_size = 2
            zones = ["zona-huehue", "zona-peten"]
            skew_ms = 25.0
            [[facts.teams]]
            name = "equipo-remesas-00"
            cpus = 700.0
            cpus_max = 1800.0
            gpus = 0.0
            gpus_max = 0.0
            [[facts.objectives]]
            kind = "wait"
            class = "cotejo-listas"
            within_s = 4.0
            share = 0.85
            [[facts.objectives]]
            kind = "wait"
            class = "pago-ventanilla"
            within_s = 1.0
            share = 0.88
            [facts.workers]
            report_s = 2.0
            lease_s = 16.0
            gang_wait_s = 35.0
            gang_peer_s = 8.0
            cancel_s = 46.0
            [facts.state]
            rps = 250.0
            write_rps = 50.0
            value_kb = 16.0
            txn_ops = 24
            [facts.cloud]
            rps = 2.0
            list_lag_s = 5.0
            [facts.resources]
            core_share = 0.34
            memory_mb = 205.0
            max_connections = 900
            """;

    public static void main(String[] args) throws Exception {
        new FaultyDrain().run(args);
    }

    @Override
    boolean play(Record record, Path folder) throws Exception {
        Store store = new Store(record, 250, 50, 16, 24);
        Cloud cloud = new Cloud(
                record,
                List.of(new Cloud.Type(
                        "nodo-remesero", 16, 128, 0.91, 0.41, 35, List.of("zona-huehue", "zona-peten"))));
        Deployment deployment = closing(new Deployment(
                record, folder, List.of("zona-peten", "zona-huehue", "zona-peten"), store, cloud, FACTS));
        Worker.Timing timing = new Worker.Timing(2, 16);
        Worker full = deployment.addWorker(cloud, "i-000001", "nodo-remesero", "zona-peten", timing);
        Worker sick = deployment.addWorker(cloud, "i-000002", "nodo-remesero", "zona-huehue", timing);
        full.setCommandDelay(COMMAND_MILLIS);
        sick.setCommandDelay(COMMAND_MILLIS);
        full.start();
        deployment.startAll();
        for (String node : deployment.addresses.keySet()) {
            require(Deployment.await(15_000, () -> deployment.isUp(node)), node + " is not up");
        }
        Map<String, Object> service = Deployment.job(
                "run-000001", "pago-ventanilla", "equipo-remesas-00", "daemon", "critical", 8, 2, 8.3);
        require(deployment.submit(service, -1), "run-000001 is not accepted");
        require(Deployment.await(15_000, () -> full.liveTasks() == 8), "run-000001 does not run");
        sick.start();
        Thread.sleep(4_000);
        require(sick.liveTasks() == 0, "i-000002 is not empty");
        String leader = (String) store.leader("node");
        List<String> accepted = new ArrayList<>();
        // Two jobs run on the second machine, which has room for two more tasks.
        submit(deployment, leader, accepted);
        submit(deployment, leader, accepted);
        require(Deployment.await(5_000, () -> sick.liveTasks() == 2), "the first two jobs do not run");
        Thread.sleep(1_000);
        sick.awaitQuiet(650);
        // Two more arrive; the machine turns faulty, and the two running tasks fail.
        Thread third = new Thread(() -> submit(deployment, leader, accepted));
        third.start();
        Thread.sleep(20);
        submit(deployment, leader, accepted);
        Thread.sleep(15);
        if (TROUBLE) {
            record.line("i-000002 fails every task");
            sick.setFailing(true);
            sick.fail(List.of(accepted.get(0) + "/0", accepted.get(1) + "/0"));
        }
        third.join();
        require(accepted.size() == JOBS, "not all jobs are accepted");
        Thread.sleep(500);
        // The cloud has had nothing to give so far; from now on it has.
        cloud.setCapacity(6, 2_000, (id, model, site, loaner) -> {
            Worker worker = deployment.newWorker(id, model, site, loaner, timing);
            worker.setCommandDelay(COMMAND_MILLIS);
            return worker;
        });
        Thread.sleep(4_000);
        sick.setFailing(false);
        record.line("the trouble is over");
        long over = System.nanoTime();
        List<String> unfinished = new ArrayList<>(accepted);
        while (!unfinished.isEmpty() && System.nanoTime() - over < 91_000_000_000L) {
            Thread.sleep(2_500);
            for (String id : List.copyOf(unfinished)) {
                if ("done".equals(deployment.poll(leader, id).state())) {
                    unfinished.remove(id);
                }
            }
        }
        for (Worker worker : deployment.workers) {
            record.line("%s holds %d tasks", worker.id, worker.liveTasks());
        }
        if (unfinished.isEmpty()) {
            record.say(
                    "held: all %d jobs are done %d s after the trouble",
                    JOBS, (System.nanoTime() - over) / 1_000_000_000);
        } else {
            record.say("broken: %s not done 90 s after the trouble", unfinished);
        }
        return unfinished.isEmpty();
    }

    private static void submit(Deployment deployment, String node, List<String> accepted) {
        try {
            String id;
            synchronized (accepted) {
                id = String.format("run-%06d", 100 + deployment.jobs.size());
                deployment.jobs.put(id, 20_000L);
            }
            Map<String, Object> job = Deployment.job(
                    id, "cotejo-listas", "equipo-remesas-00", "batch", "high", 1, 4, 17);
            int status = deployment
                    .call(node, "POST", "/submissions", org.granitepath.protocol.Json.encode(job), 5_000)
                    .status();
            if (status == 201) {
                synchronized (accepted) {
                    accepted.add(id);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
