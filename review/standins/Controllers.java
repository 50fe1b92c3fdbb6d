import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The controllers of a deployment, started as processes with the command of the deploy file. */
final class Controllers {
    /** The sizes of a deployment, as its settings file has them. */
    record Site(
            List<String> nodeZones,
            List<String> zones,
            List<String> teams,
            double reportSeconds,
            double leaseSeconds,
            double cancelSeconds,
            double rps,
            double writeRps,
            int valueKb,
            int txnOps,
            double cloudRps,
            double listLagSeconds,
            double coreShare,
            double memoryMb,
            int maxConnections) {}

    final Site site;
    final Path folder;
    final Map<String, String> serveOn = new LinkedHashMap<>();
    final Map<String, String> back = new LinkedHashMap<>();
    /** The links to the state service, by node. */
    final Map<String, Proxy> toState = new LinkedHashMap<>();
    /** The links between controllers, by "from>to". */
    final Map<String, Proxy> between = new LinkedHashMap<>();

    final Map<String, Process> processes = new LinkedHashMap<>();
    private final Path root;
    private final List<String> command;

    Controllers(Site site, Path root, Path folder, String store, String cloud) throws IOException {
        this.site = site;
        this.root = root;
        this.folder = folder;
        this.command = command(root);
        int count = site.nodeZones().size();
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            serveOn.put("worker-" + i, "127.0.0.1:" + freePort(held));
            back.put("worker-" + i, "127.0.0.1:" + freePort(held));
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (String node : serveOn.keySet()) {
            toState.put(node, new Proxy(store));
            for (String other : serveOn.keySet()) {
                if (!other.equals(node)) {
                    between.put(node + ">" + other, new Proxy(back.get(other)));
                }
            }
        }
        for (String node : serveOn.keySet()) {
            Files.writeString(folder.resolve(node + ".toml"), settings(node, cloud));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Ports below the range that the system hands out by itself, so that no other socket takes them meanwhile. */
    private static int freePort(List<ServerSocket> held) throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = 12_000 + (int) (Math.random() * 18_000);
            try {
                ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                held.add(socket);
                return port;
            } catch (IOException e) {
                // The port is taken.
            }
        }
        throw new IOException("no free port");
    }

    private static List<String> command(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy").resolve("service.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        return List.of(run.group(1).split(" +"));
    }

    private String settings(String node, String cloud) {
        StringBuilder text = new StringBuilder();
        int index = Integer.parseInt(node.substring("worker-".length()));
        text.append("node_name = \"" + node + "\"\nsite = \"" + site.nodeZones().get(index) + "\"\n");
        text.append("serve_on = \"" + serveOn.get(node) + "\"\nback = \"" + back.get(node) + "\"\n");
        int i = 0;
        for (String other : serveOn.keySet()) {
            if (!other.equals(node)) {
                text.append("\n[[others]]\nnode_name = \"" + other + "\"\nsite = \"" + site.nodeZones().get(i) + "\"\n");
                text.append("addr = \"" + between.get(node + ">" + other).address + "\"\n");
            }
            i++;
        }
        text.append("\n[services]\ncloud = \"" + cloud + "\"\nstate = \"" + toState.get(node).address + "\"\n");
        text.append("\n[facts]\ninitial_size = 3\nzones = [");
        text.append(String.join(", ", site.zones().stream().map(zone -> "\"" + zone + "\"").toList()));
        text.append("]\nskew_ms = 25.0\n");
        for (String team : site.teams()) {
            text.append("\n[[facts.teams]]\n" + team + "\n");
        }
        text.append("\n[facts.workers]\nreport_s = " + site.reportSeconds() + "\nlease_s = " + site.leaseSeconds()
                + "\ngang_wait_s = 50.0\ngang_peer_s = 5.0\ncancel_s = " + site.cancelSeconds() + "\n");
        text.append("\n[facts.state]\nrps = " + site.rps() + "\nwrite_rps = " + site.writeRps() + "\nvalue_kb = "
                + (double) site.valueKb() + "\ntxn_ops = " + site.txnOps() + "\n");
        text.append("\n[facts.cloud]\nrps = " + site.cloudRps() + "\nlist_lag_s = " + site.listLagSeconds() + "\n");
        text.append("\n[facts.resources]\ncore_share = " + site.coreShare() + "\nmemory_mb = " + site.memoryMb()
                + "\nmax_connections = " + site.maxConnections() + "\n");
        return text.toString();
    }

    void startAll() throws IOException {
        for (String node : serveOn.keySet()) {
            start(node);
        }
    }

    void start(String node) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(folder.resolve(node + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(words)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(node + ".log").toFile()));
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("REVIEW_LOG", "info"));
        processes.put(node, builder.start());
        Record.line("process " + node + " started");
    }

    void kill(String node) throws InterruptedException {
        Process process = processes.get(node);
        process.destroyForcibly();
        process.waitFor();
        Record.line("process " + node + " killed");
    }

    void signal(String node, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(node).pid())).start().waitFor();
        Record.line("process " + node + ": signal " + name);
    }

    void killAll() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Waits until each named node answers /up with 200; false after the time. */
    boolean awaitUp(long millis, String... nodes) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (String node : nodes) {
            while (Web.call("GET", serveOn.get(node), "/up", null, 1000).status() != 200) {
                if (System.nanoTime() > end) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    /** The node that says of itself that it leads, and that has taken over; null if none does. */
    String leader() {
        for (String node : serveOn.keySet()) {
            Map<String, Object> status = Web.call("GET", back.get(node), "/recovery", null, 500).json();
            if ("leading".equals(status.get("role"))) {
                return node;
            }
        }
        return null;
    }

    String awaitLeader(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            String leader = leader();
            if (leader != null) {
                return leader;
            }
            Thread.sleep(100);
        }
        return null;
    }
}
