package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The only machine of a job stops with all that is on it; the job is still reported as running. */
final class StaleStatus extends Case {
    private static final String FACTS = """
            [facts]
            initial_size = 0
            zones = ["zona-aurora", "zona-capital", "zona-frontera", "zona-xela"]
            skew_ms = 250.0
            [[facts.teams]]
            name = "equipo-caja-00"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [[facts.objectives]]
            kind = "deadline"
            class = "cierre-caja"
            share = 0.9
            times = 1.0
            [facts.workers]
            report_s = 3.0
            lease_s = 27.0
            gang_wait_s = 35.0
            gang_peer_s = 8.0
            cancel_s = 52.0
            [facts.state]
            rps = 150.0
            write_rps = 20.0
            value_kb = 8.0
            txn_ops = 8
            [facts.cloud]
            rps = 5.0
            list_lag_s = 3.0
            [facts.resources]
            core_share = 0.34
            memory_mb = 263.0
            max_connections = 1800
            """;

    public static void main(String[] args) throws Exception {
        new StaleStatus().run(args);
    }

    @Override
    boolean play(Record record, Path folder) throws Exception {
        Store store = new Store(record, 150, 20, 8, 8);
        Cloud cloud = new Cloud(
                record,
                List.of(new Cloud.Type("bodega-media", 16, 64, 1.02, 0.31, 15, List.of("zona-capital", "zona-xela"))));
        Deployment deployment = closing(new Deployment(
                record, folder, List.of("zona-capital", "zona-xela", "zona-capital"), store, cloud, FACTS));
        Worker.Timing timing = new Worker.Timing(3, 27);
        Worker machine = deployment.addWorker(cloud, "i-000001", "bodega-media", "zona-xela", timing);
        machine.start();
        deployment.startAll();
        for (String node : deployment.addresses.keySet()) {
            require(Deployment.await(15_000, () -> deployment.isUp(node)), node + " is not up");
        }
        Map<String, Object> job = Deployment.job(
                "run-000001", "cierre-caja", "equipo-caja-00", "batch", "standard", 11, 2, 7.2);
        job.put("expect_s", 150.0);
        require(deployment.submit(job, 150_000), "run-000001 is not accepted");
        require(Deployment.await(20_000, () -> machine.liveTasks() == 8), "run-000001 does not run");
        machine.finish("run-000001/0");
        require(
                Deployment.await(20_000, () -> {
                    Thread.sleep(1_000);
                    return "running".equals(deployment.poll("worker-0", "run-000001").state());
                }),
                "run-000001 is not reported as running");
        if (TROUBLE) {
            record.line("i-000001 stops with all that is on it");
            machine.close();
        }
        Thread.sleep(45_000);
        // Nothing runs for 45 s now, unless the machine goes on.
        int wrong = 0;
        int polls = 0;
        for (int i = 0; i < 6; i++) {
            Thread.sleep(5_000);
            for (String node : deployment.addresses.keySet()) {
                int before = machine.liveTasks();
                Object state = deployment.poll(node, "run-000001").state();
                polls++;
                if ("running".equals(state) && before == 0 && machine.liveTasks() == 0
                        || "pending".equals(state) && before > 0) {
                    wrong++;
                }
            }
        }
        record.say(
                "%s: %d of %d polls in 30 s gave a state that no task of the job matches; %d tasks are on machines",
                wrong == 0 ? "held" : "broken", wrong, polls, machine.liveTasks());
        return wrong == 0;
    }
}
