import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** One small deployment: state service, cloud, controllers, workers, and the users' requests to it. */
final class Deployment {
    /** A start that a worker carried out. */
    record Started(double at, String piece, long attempt, String host) {}

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Store store;
    final Cloud cloud;
    final Controllers nodes;
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    final ConcurrentLinkedQueue<Started> starts = new ConcurrentLinkedQueue<>();
    /** How long the tasks of a job run, in milliseconds; negative: until they are stopped. */
    final Map<String, Long> runMillis = new ConcurrentHashMap<>();
    /** Machines that fail every task that they start. */
    final Map<String, Boolean> sick = new ConcurrentHashMap<>();

    private final Path folder;

    /** @param machines the most machines that the cloud has in each zone */
    Deployment(Path root, Controllers.Site site, Store store, List<Cloud.Type> types, int machines) throws IOException {
        this.store = store;
        this.folder = Files.createTempDirectory("review");
        this.cloud = new Cloud(types, site.zones(), machines, machine -> {});
        this.nodes = new Controllers(site, root, folder, store.address, cloud.address);
    }

    /** A small deployment with the sizes of envios-quetzal in its small size, which has three controllers. */
    static Deployment remittances(String[] args, int machines) throws IOException {
        begin(args);
        List<String> zones = List.of("zona-huehue", "zona-peten");
        Controllers.Site site = new Controllers.Site(
                List.of("zona-peten", "zona-huehue", "zona-peten"),
                zones,
                List.of("name = \"equipo-remesas\"\ncpus = 40.0\ncpus_max = 112.0\ngpus = 0.0\ngpus_max = 0.0"),
                2, 16, 46, 250, 50, 16, 24, 2, 5, 0.34, 205, 900);
        List<Cloud.Type> types = List.of(new Cloud.Type("nodo-remesero", 16, 128, 0.91, 0.41, 35));
        return new Deployment(Path.of(args[0]), site, new Store(250, 50, 16, 24), types, machines);
    }

    /** A small deployment with the sizes of viti-tolls. */
    static Deployment tolls(String[] args, int machines) throws IOException {
        begin(args);
        List<String> zones = List.of("nadi-depot", "suva-depot");
        Controllers.Site site = new Controllers.Site(
                List.of("suva-depot", "nadi-depot", "suva-depot"),
                zones,
                List.of("name = \"tolls-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0"),
                1, 11, 31, 80, 25, 32, 16, 1.5, 12, 0.17, 176, 700);
        List<Cloud.Type> types = List.of(
                new Cloud.Type("roadside-box", 8, 64, 0.5, 0.21, 35),
                new Cloud.Type("depot-server", 16, 64, 0.94, 0.37, 20));
        return new Deployment(Path.of(args[0]), site, new Store(80, 25, 32, 16), types, machines);
    }

    /** Opens the record. An error of the driver itself means that the case could not run. */
    private static void begin(String[] args) throws IOException {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            error.printStackTrace();
            System.exit(COULD_NOT_RUN);
        });
        Record.open(Path.of(args[1]));
    }

    /** The fields of a live service of remittances. */
    static Map<String, Object> service(int replicas) {
        return fields(
                "lane", "pago-ventanilla", "owner", "equipo-remesas", "shape", "daemon", "rank", "critical",
                "pieces", replicas, "cpus", 2.0, "mem_gb", 8.3, "bundle", "img-01", "size_gb", 0.9,
                "loaner", false, "scatter", true, "expect_s", 0.0);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Adds a machine that is up, with its worker. */
    Worker addMachine(String model, String zone) throws IOException {
        Cloud.Machine machine = cloud.add(model, zone);
        Controllers.Site site = nodes.site;
        Worker worker = new Worker(
                machine,
                nodes.serveOn,
                (long) (site.reportSeconds() * 1000),
                (long) (site.leaseSeconds() * 1000),
                piece -> runMillis.getOrDefault(piece.substring(0, piece.indexOf('/')), 1000L),
                piece -> sick.getOrDefault(machine.id(), false),
                new Worker.Events() {
                    @Override
                    public void started(Worker on, String piece, long attempt) {
                        starts.add(new Started(Record.now(), piece, attempt, machine.id()));
                        Record.line("worker " + machine.id() + ": " + piece + " try " + attempt + " started");
                    }

                    @Override
                    public void ended(Worker on, String piece, long attempt, String how) {
                        Record.line("worker " + machine.id() + ": " + piece + " try " + attempt + " ended: " + how);
                    }

                    @Override
                    public void tooLong(Worker on, String what, int bytes) {
                        Record.line("worker " + machine.id() + ": " + what + " of " + bytes + " bytes");
                    }
                });
        cloud.attach(machine.id(), worker);
        workers.put(machine.id(), worker);
        return worker;
    }

    /** Starts all controllers and waits until they are healthy and one leads; ends the run if they don't get there. */
    String startControllers() throws Exception {
        nodes.startAll();
        String[] names = nodes.serveOn.keySet().toArray(new String[0]);
        String leader = nodes.awaitUp(30_000, names) ? nodes.awaitLeader(15_000) : null;
        if (leader == null) {
            end(COULD_NOT_RUN, "the controllers did not start");
        }
        Record.line(leader + " leads");
        return leader;
    }

    /** The fields of a submission: names and values in turn. */
    static Map<String, Object> fields(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields;
    }

    private static String submission(String job, Map<String, Object> fields) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("uid", job);
        body.put("cards", 0.0);
        body.put("models", null);
        body.put("site", null);
        body.put("same_place", false);
        body.put("scatter", false);
        body.put("snapshot_s", 0.0);
        body.put("flush_s", 0.0);
        body.put("due_s", null);
        body.putAll(fields);
        return Json.write(body);
    }

    Web.Answer submit(String node, String job, Map<String, Object> fields) {
        return user(node, "POST", "/submissions", submission(job, fields), 5000);
    }

    /** Submits with the body in a packet of its own. */
    Web.Answer submitInTwoPackets(String node, String job, Map<String, Object> fields, long gapMillis) {
        double sent = Record.now();
        Web.Answer answer = Web.postInTwoPackets(
                nodes.serveOn.get(node), "/submissions", submission(job, fields), gapMillis, 5000);
        write(node, "POST", "/submissions (" + job + ")", sent, answer);
        return answer;
    }

    /** Submits as a user does: again after a second or more, at the next node, until the answer is 200 or 201. */
    void submitUntilAccepted(String job, Map<String, Object> fields) throws Exception {
        List<String> names = List.copyOf(nodes.serveOn.keySet());
        for (int i = 0; i < 30; i++) {
            int status = submit(names.get(i % names.size()), job, fields).status();
            if (status == 200 || status == 201) {
                return;
            }
            Thread.sleep(1000);
        }
        end(COULD_NOT_RUN, job + " was not accepted");
    }

    Web.Answer cancel(String node, String job) {
        return user(node, "POST", "/submissions/" + job + "/cancel", "", 5000);
    }

    Web.Answer poll(String node, String job) {
        return user(node, "GET", "/submissions/" + job, null, 2000);
    }

    private Web.Answer user(String node, String method, String path, String body, long timeoutMillis) {
        double sent = Record.now();
        Web.Answer answer = Web.call(method, nodes.serveOn.get(node), path, body, timeoutMillis);
        write(node, method, path, sent, answer);
        return answer;
    }

    private static void write(String node, String method, String path, double sent, Web.Answer answer) {
        Record.line("user: " + method + " " + path + " at " + node + " (sent " + String.format("%.3f", sent) + "): "
                + (answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body()));
    }

    /** The starts of tasks of a job. */
    List<Started> startsOf(String job) {
        return starts.stream().filter(start -> start.piece().startsWith(job + "/")).toList();
    }

    boolean awaitStarts(String job, int count, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (startsOf(job).size() < count) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /** Ends all processes, and the run with this status. */
    void end(int status, String why) throws IOException {
        nodes.killAll();
        Record.line("result " + status + ": " + why);
        System.err.println("result " + status + ": " + why);
        if (System.getenv("REVIEW_KEEP") == null) {
            List<Path> files = new ArrayList<>();
            try (Stream<Path> walk = Files.walk(folder)) {
                walk.sorted(Comparator.reverseOrder()).forEach(files::add);
            }
            for (Path file : files) {
                Files.deleteIfExists(file);
            }
        } else {
            System.err.println(folder);
        }
        System.exit(status);
    }
}
