import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Case: the state service is down while users submit jobs.
 *
 * <p>Each user sends the head and the body of a submission in two packets, 5 ms apart, and follows the page: any answer
 * but 200, 201, 400 and 422 is retried after a second or after Retry-After, at the next controller, for 60 s at most.
 * After the outage every job that was accepted has to be known. With TROUBLE=0 there is no outage.
 */
final class Lost {
    private static final int USERS = 6;
    private static final long GAP_MILLIS = 5;
    private static final double OUTAGE_SECONDS = 20;
    /** Time for the service to recover after the outage, before accepted jobs are asked for. */
    private static final long RECOVERY_MILLIS = 15_000;

    private Lost() {}

    public static void main(String[] args) throws Exception {
        Deployment deployment = Deployment.remittances(args, 3);
        deployment.startControllers();
        deployment.addMachine("nodo-remesero", "zona-peten");
        deployment.addMachine("nodo-remesero", "zona-huehue");
        Thread.sleep(3_000);
        if (Deployment.hasTrouble()) {
            Record.line("trouble: the state service is down");
            deployment.store.setOutage(true);
        }
        double began = Record.now();
        Thread.sleep(1_000);
        Map<String, CompletableFuture<Boolean>> users = new LinkedHashMap<>();
        for (int i = 1; i <= USERS; i++) {
            String job = String.format("run-%06d", i);
            int first = i;
            deployment.runMillis.put(job, 10_000L);
            users.put(job, CompletableFuture.supplyAsync(() -> submit(deployment, job, first), Web.THREADS));
            Thread.sleep(300);
        }
        Thread.sleep(Math.max(0, (long) ((began + OUTAGE_SECONDS - Record.now()) * 1000)));
        deployment.store.setOutage(false);
        Record.line("the state service answers" + (Deployment.hasTrouble() ? " again" : ""));
        List<String> accepted = new ArrayList<>();
        for (Map.Entry<String, CompletableFuture<Boolean>> user : users.entrySet()) {
            if (user.getValue().join()) {
                accepted.add(user.getKey());
            }
        }
        Record.line("accepted: " + accepted);
        Thread.sleep(RECOVERY_MILLIS);
        List<String> forgotten = new ArrayList<>();
        int unanswered = 0;
        for (String job : accepted) {
            int notFound = 0;
            for (String node : deployment.nodes.serveOn.keySet()) {
                int status = deployment.poll(node, job).status();
                notFound += status == 404 ? 1 : 0;
                unanswered += status != 404 && status != 200 ? 1 : 0;
            }
            if (notFound > 0) {
                forgotten.add(job);
            }
        }
        if (accepted.isEmpty() || unanswered > 0) {
            deployment.end(Deployment.COULD_NOT_RUN, "no job was accepted, or " + unanswered + " polls had no answer");
        }
        long started = forgotten.stream()
                .filter(job -> !deployment.startsOf(job).isEmpty())
                .count();
        deployment.end(
                forgotten.isEmpty() ? Deployment.HELD : Deployment.BROKEN,
                accepted.size() + " jobs were accepted; " + forgotten.size() + " of them get 404 now: " + forgotten
                        + "; " + started + " of these were ever started");
    }

    /** Returns whether the job was accepted. */
    private static boolean submit(Deployment deployment, String job, int first) {
        List<String> nodes = List.copyOf(deployment.nodes.serveOn.keySet());
        double end = Record.now() + 60;
        for (int i = first; Record.now() < end; i++) {
            Map<String, Object> fields = Deployment.fields(
                    "lane", "cotejo-listas", "owner", "equipo-remesas", "shape", "batch", "rank", "high",
                    "pieces", 2, "cpus", 4.0, "mem_gb", 17.0, "bundle", "img-02", "size_gb", 1.2,
                    "loaner", true, "expect_s", 10.0, "due_s", 60.0);
            int status = deployment
                    .submitInTwoPackets(nodes.get(i % nodes.size()), job, fields, GAP_MILLIS)
                    .status();
            if (status == 200 || status == 201) {
                return true;
            }
            if (status == 400 || status == 422) {
                return false;
            }
            try {
                Thread.sleep(2_000); // the Retry-After of the answers
            } catch (InterruptedException e) {
                return false;
            }
        }
        return false;
    }
}
