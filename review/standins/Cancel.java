import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Case: the leader loses the state service and the other controllers, and a job is cancelled through those.
 *
 * <p>One controller commits the cancellation and waits until the leader can start nothing more. Another controller
 * answers the same request at once. Starts that workers get after that answer are counted. With TROUBLE=0 nothing is
 * cut.
 */
final class Cancel {
    private static final String JOB = "run-000001";
    private static final long TASK_MILLIS = 1_500;

    private Cancel() {}

    public static void main(String[] args) throws Exception {
        Deployment deployment = Deployment.tolls(args, 3);
        String leader = deployment.startControllers();
        for (int i = 0; i < 3; i++) {
            deployment.addMachine("roadside-box", i == 0 ? "nadi-depot" : "suva-depot");
        }
        List<String> others = new ArrayList<>(deployment.nodes.serveOn.keySet());
        others.remove(leader);
        deployment.runMillis.put(JOB, TASK_MILLIS);
        deployment.submitUntilAccepted(JOB, Deployment.fields(
                "lane", "trip-billing", "owner", "tolls-ops", "shape", "batch", "rank", "standard",
                "pieces", 118, "cpus", 4.0, "mem_gb", 15.0, "bundle", "img-07", "size_gb", 1.2,
                "loaner", true, "expect_s", 1.5, "due_s", 600.0));
        if (!deployment.awaitStarts(JOB, 20, 30_000)) {
            deployment.end(Deployment.COULD_NOT_RUN, "the job did not start");
        }
        if (Deployment.hasTrouble()) {
            Record.line("trouble: " + leader + " loses the state service and the other controllers");
            deployment.nodes.toState.get(leader).setCut(true);
            for (String other : others) {
                deployment.nodes.between.get(leader + ">" + other).setCut(true);
                deployment.nodes.between.get(other + ">" + leader).setCut(true);
            }
        }
        CompletableFuture<Web.Answer> first =
                CompletableFuture.supplyAsync(() -> deployment.cancel(others.get(0), JOB), Web.THREADS);
        Thread.sleep(200);
        Web.Answer second = deployment.cancel(others.get(1), JOB);
        double told = Record.now();
        if (second.status() != 200 || !second.body().contains("aborted")) {
            double end = told + 20;
            while (second.status() != 200 && Record.now() < end) {
                Thread.sleep(1_000);
                second = deployment.cancel(others.get(1), JOB);
                told = Record.now();
            }
        }
        if (second.status() != 200 || !second.body().contains("aborted")) {
            deployment.end(Deployment.COULD_NOT_RUN, "the cancellation was not answered with 200 and aborted");
        }
        first.join();
        Thread.sleep(8_000);
        double confirmed = told;
        List<Deployment.Started> late = deployment.startsOf(JOB).stream()
                .filter(start -> start.at() > confirmed)
                .toList();
        deployment.end(
                late.isEmpty() ? Deployment.HELD : Deployment.BROKEN,
                late.size() + " tasks of " + JOB + " were started after its user was told at "
                        + String.format("%.3f", confirmed) + " that it is cancelled"
                        + (late.isEmpty() ? "" : ", the last at " + String.format("%.3f", late.get(late.size() - 1).at())));
    }
}
