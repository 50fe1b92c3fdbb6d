package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A machine on which tasks of two jobs failed is drained as faulty. Services keep running on it, so it is neither
 * replaced nor used again after it works, and jobs wait beside its free capacity.
 */
final class DrainedForever extends Case {
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
        new DrainedForever().run(args);
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
        full.start();
        Worker sick = deployment.addWorker(cloud, "i-000002", "nodo-remesero", "zona-huehue", timing);
        deployment.startAll();
        for (String node : deployment.addresses.keySet()) {
            require(Deployment.await(15_000, () -> deployment.isUp(node)), node + " is not up");
        }
        // Services run on both machines: the first is full, the second has room for 12 of its 16 CPUs.
        Map<String, Object> first = Deployment.job(
                "run-000001", "pago-ventanilla", "equipo-remesas-00", "daemon", "critical", 8, 2, 8.3);
        require(deployment.submit(first, -1), "run-000001 is not accepted");
        require(Deployment.await(15_000, () -> full.liveTasks() == 8), "run-000001 does not run");
        sick.start();
        Map<String, Object> second = Deployment.job(
                "run-000002", "pago-ventanilla", "equipo-remesas-00", "daemon", "critical", 2, 2, 8.3);
        require(deployment.submit(second, -1), "run-000002 is not accepted");
        require(Deployment.await(15_000, () -> sick.liveTasks() == 2), "run-000002 does not run");
        if (TROUBLE) {
            record.line("i-000002 fails every task that it starts");
            sick.setFailing(true);
        }
        List<String> waiting = new ArrayList<>();
        for (int i = 3; i <= 4; i++) {
            String id = "run-00000" + i;
            Map<String, Object> job = Deployment.job(
                    id, "cotejo-listas", "equipo-remesas-00", "batch", "high", 1, 4, 17);
            require(deployment.submit(job, 5_000), id + " is not accepted");
            waiting.add(id);
            if (TROUBLE) {
                require(Deployment.await(8_000, () -> sick.hasStarted(id + "/0")), id + " was not tried");
            }
        }
        if (TROUBLE) {
            Thread.sleep(1_000);
            sick.setFailing(false);
        }
        long over = record.line("the trouble is over");
        long end = System.nanoTime() + 91_000_000_000L;
        while (!waiting.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(5_000); // users poll roughly every 5 s
            for (String id : List.copyOf(waiting)) {
                if ("done".equals(deployment.poll("worker-0", id).state())) {
                    waiting.remove(id);
                }
            }
        }
        if (waiting.isEmpty()) {
            record.say("held: all jobs are done %d ms after the trouble", record.nowMillis() - over);
        } else {
            record.say("i-000002 holds %d tasks of 2 CPUs, of 16 CPUs", sick.liveTasks());
            record.say("broken: %s have waited for more than 90 s beside a machine with room for them", waiting);
        }
        return waiting.isEmpty();
    }
}
