import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Case: all controllers crash when the jobs of three days are on record.
 *
 * <p>A service runs. The jobs that ended in three days at the rates of the site are left out as a time-lapse: their
 * records appear in the state service as this version writes them, and the controllers follow them. Then all
 * controllers are killed and started again, and the user polls the service's job at every controller. With TROUBLE=0
 * nothing is killed.
 */
final class Days {
    /** `cotejo-listas` 34 a minute, `pago-ventanilla` 5.3 a minute (kit/added/LATER.md). */
    private static final double JOBS_PER_MINUTE = 34 + 5.3;

    private static final int JOBS = (int) (3 * 24 * 60 * JOBS_PER_MINUTE);
    private static final int JOBS_AT_ONCE = 60;
    private static final String SERVICE = "run-900001";
    /** A job about which no question is answered for this long counts as forgotten. */
    private static final double FORGOTTEN_SECONDS = 75;

    private static final double LATEST_RESTART_SECONDS = 38;

    private Days() {}

    public static void main(String[] args) throws Exception {
        Deployment deployment = Deployment.remittances(args, 3);
        deployment.startControllers();
        deployment.addMachine("nodo-remesero", "zona-peten");
        deployment.addMachine("nodo-remesero", "zona-huehue");
        deployment.runMillis.put(SERVICE, -1L);
        deployment.submitUntilAccepted(SERVICE, Deployment.service(4));
        if (!deployment.awaitStarts(SERVICE, 4, 10_000)) {
            deployment.end(Deployment.COULD_NOT_RUN, "the service did not start");
        }
        Record.line("time-lapse: the jobs of three days begin to appear on record");
        putEndedJobs(deployment.store);
        Record.line("time-lapse: " + JOBS + " ended jobs are on record, " + deployment.store.size() + " keys");
        Thread.sleep(2_000);
        for (String node : deployment.nodes.serveOn.keySet()) {
            boolean live = deployment.poll(node, SERVICE).status() == 200;
            boolean ended = deployment.poll(node, id(JOBS - 1)).status() == 200;
            if (!live || !ended) {
                deployment.end(Deployment.COULD_NOT_RUN, node + " did not follow the time-lapse");
            }
        }
        if (Record.now() > LATEST_RESTART_SECONDS) {
            deployment.end(Deployment.COULD_NOT_RUN, "the time-lapse took too long on this machine");
        }
        if (Deployment.hasTrouble()) {
            for (String node : deployment.nodes.serveOn.keySet()) {
                deployment.nodes.kill(node);
            }
            Thread.sleep(1_000);
            deployment.nodes.startAll();
        }
        double since = Record.now();
        int polls = 0;
        int answered = 0;
        int endedPolls = 0;
        int endedAnswered = 0;
        double end = since + FORGOTTEN_SECONDS + 0.5;
        while (Record.now() < end && (answered == 0 || !Deployment.hasTrouble())) {
            for (String node : deployment.nodes.serveOn.keySet()) {
                if (Record.now() < end) {
                    polls++;
                    answered += deployment.poll(node, SERVICE).status() == 200 ? 1 : 0;
                    endedPolls++;
                    endedAnswered += deployment.poll(node, id(7)).status() == 200 ? 1 : 0;
                }
            }
            Thread.sleep(2_500);
        }
        int live = deployment.workers.values().stream()
                .mapToInt(worker -> worker.live().size())
                .sum();
        deployment.end(
                answered > 0 ? Deployment.HELD : Deployment.BROKEN,
                answered + " of " + polls + " polls for the accepted job " + SERVICE + " were answered in "
                        + String.format("%.0f", Record.now() - since) + " s (" + endedAnswered + " of " + endedPolls
                        + " for an ended one); " + live + " of its 4 replicas run");
    }

    private static String id(int job) {
        return String.format("run-%06d", job);
    }

    private static void putEndedJobs(Store store) throws InterruptedException {
        List<String[]> batch = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = id(i);
            boolean service = i % 15 < 2;
            batch.add(new String[] {"g/j/" + id, job(id, service)});
            if (!service) {
                batch.add(new String[] {
                    "g/p/" + id, "{\"owner\":\"worker-0\",\"claimed\":15,\"done\":[0,14],\"running\":1}"
                });
            }
            batch.add(new String[] {"g/f/" + id, "{\"how\":" + (service ? 1 : 0) + "}"});
            if (i % JOBS_AT_ONCE == 0) {
                store.lapse(batch);
                batch.clear();
                Thread.sleep(3);
            }
        }
        store.lapse(batch);
    }

    private static String job(String id, boolean service) {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("id", id);
        spec.put("class", service ? "pago-ventanilla" : "cotejo-listas");
        spec.put("team", "equipo-remesas");
        spec.put("shape", service ? 2 : 0);
        spec.put("rank", service ? 0 : 1);
        spec.put("tasks", service ? 6 : 15);
        spec.put("cpu", service ? 2000 : 4000);
        spec.put("gpu", 0);
        spec.put("mem", service ? 8300 : 17000);
        spec.put("image", "img-07");
        spec.put("imageGb", 1.2);
        spec.put("oneZone", false);
        spec.put("spread", service);
        spec.put("spot", !service);
        spec.put("estimate", service ? 0 : 60_000_000);
        spec.put("checkpoint", 0);
        spec.put("save", 0);
        spec.put("deadline", service ? -1 : 130_000_000);
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("spec", spec);
        record.put("at", System.currentTimeMillis() * 1000);
        record.put("claimed", 6);
        record.put("term", 1);
        return Json.write(record);
    }
}
