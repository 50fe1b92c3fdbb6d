import java.util.List;

/**
 * Case: a machine fails the tasks that it starts for a while, and a job that failed there never runs on it again.
 *
 * <p>Six machines as in the small size of the site, three in each zone, and no more to be had. Two services fill the
 * machines of one zone, but for some room on one of them. That machine is sick while a job bound to the zone starts
 * there; then it is sound again. With TROUBLE=0 it is never sick.
 */
final class Starve {
    private static final String ZONE = "zona-huehue";
    private static final String JOB = "run-000003";
    private static final double SICK_SECONDS = 10;
    /** No job may be left waiting for this long while a machine that fits has room. */
    private static final double WAIT_SECONDS = 90;

    private Starve() {}

    public static void main(String[] args) throws Exception {
        Deployment deployment = Deployment.remittances(args, 3);
        deployment.startControllers();
        for (int i = 0; i < 3; i++) {
            deployment.addMachine("nodo-remesero", "zona-peten");
            deployment.addMachine("nodo-remesero", ZONE);
        }
        for (String service : List.of("run-000001", "run-000002")) {
            deployment.runMillis.put(service, -1L);
            var fields = Deployment.service(9);
            fields.put("scatter", false);
            fields.put("site", ZONE);
            deployment.submitUntilAccepted(service, fields);
            if (!deployment.awaitStarts(service, 9, 10_000)) {
                deployment.end(Deployment.COULD_NOT_RUN, "the services did not start");
            }
        }
        List<Worker> withRoom = deployment.workers.values().stream()
                .filter(worker -> worker.machine.site().equals(ZONE))
                .peek(worker -> Record.line(worker.machine.id() + " runs " + worker.live().size()
                        + " replicas of 2 CPUs and has 16 CPUs"))
                .filter(worker -> 16 - 2 * worker.live().size() >= 4)
                .toList();
        if (withRoom.size() != 1) {
            deployment.end(Deployment.COULD_NOT_RUN, "not one machine of the zone alone has room");
        }
        Worker machine = withRoom.get(0);
        if (Deployment.hasTrouble()) {
            Record.line("trouble: " + machine.machine.id() + " fails every task that it starts");
            deployment.sick.put(machine.machine.id(), true);
        }
        double sickSince = Record.now();
        deployment.runMillis.put(JOB, 10_000L);
        deployment.submitUntilAccepted(JOB, Deployment.fields(
                "lane", "cotejo-listas", "owner", "equipo-remesas", "shape", "batch", "rank", "high",
                "pieces", 1, "cpus", 4.0, "mem_gb", 17.0, "bundle", "img-02", "size_gb", 1.2,
                "loaner", true, "expect_s", 10.0, "due_s", 30.0, "site", ZONE));
        if (!deployment.awaitStarts(JOB, 1, 10_000)) {
            deployment.end(Deployment.COULD_NOT_RUN, "the job never started");
        }
        Thread.sleep(Math.max(0, (long) ((sickSince + SICK_SECONDS - Record.now()) * 1000)));
        deployment.sick.clear();
        double over = Record.now();
        Record.line("trouble over: " + machine.machine.id() + " is sound");
        boolean done = false;
        while (!done && Record.now() < over + WAIT_SECONDS + 1) {
            Thread.sleep(3_000);
            done = deployment.poll("worker-0", JOB).body().contains("\"status\":\"done\"");
        }
        long again = deployment.startsOf(JOB).stream()
                .filter(start -> start.at() > over)
                .count();
        int used = 2 * machine.live().size();
        deployment.end(
                done || again > 0 ? Deployment.HELD : Deployment.BROKEN,
                JOB + (done ? " is done" : " is not done, and was started " + again + " times in the "
                        + String.format("%.0f", Record.now() - over) + " s since the trouble")
                        + "; " + machine.machine.id() + " has " + (16 - used) + " CPUs free, the job needs 4");
    }
}
