import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The cloud: machine types, rentals up to a number of machines, returns, and the machine list. */
final class Cloud {
    record Type(String name, double cpus, double memGb, double price, double spotPrice, double readySeconds) {}

    record Machine(String id, String model, String site, boolean loaner, long rentedNanos) {}

    private final List<Type> types;
    private final List<String> zones;
    /** The most machines in each zone. */
    private final int capacity;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, List<String>> bookings = new HashMap<>();
    private final Consumer<Machine> boot;
    private int last;
    String address;

    /** @param boot starts the worker of a machine that was rented */
    Cloud(List<Type> types, List<String> zones, int capacity, Consumer<Machine> boot) throws IOException {
        this.types = types;
        this.zones = zones;
        this.capacity = capacity;
        this.boot = boot;
        this.address = Web.serve(this::answer);
    }

    /** Adds a machine that is up at the start. */
    synchronized Machine add(String model, String site) {
        Machine machine = new Machine(String.format("i-%06d", ++last), model, site, false, System.nanoTime());
        machines.put(machine.id(), machine);
        return machine;
    }

    synchronized void attach(String id, Worker worker) {
        workers.put(id, worker);
    }

    private synchronized Web.Answer answer(Web.Request request) {
        switch (request.path()) {
            case "/flavors": {
                List<Object> list = new ArrayList<>();
                for (Type type : types) {
                    Map<String, Object> fields = new LinkedHashMap<>();
                    fields.put("sku", type.name());
                    fields.put("cpus", type.cpus());
                    fields.put("cards", 0.0);
                    fields.put("mem_gb", type.memGb());
                    fields.put("cache_gb", 60.0);
                    fields.put("fetch_gb_per_s", 0.25);
                    fields.put("rate", type.price());
                    fields.put("market_price", type.spotPrice());
                    fields.put("ready_s", type.readySeconds());
                    fields.put("sites", zones);
                    list.add(fields);
                }
                return Web.Answer.ok(Map.of("models", list));
            }
            case "/rentals/return": {
                Object hosts = Json.object(request.body()).get("hosts");
                for (Object host : (List<?>) hosts) {
                    if (machines.remove(host) != null) {
                        Record.line("cloud: machine " + host + " returned");
                        Worker worker = workers.remove(host);
                        if (worker != null) {
                            worker.gone();
                        }
                    }
                }
                return Web.Answer.ok(Map.of());
            }
            case "/rentals":
                return request.method().equals("GET") ? list(request.query()) : rent(Json.object(request.body()));
            default:
                return Web.Answer.error(400, "unknown request");
        }
    }

    private Web.Answer rent(Map<String, Object> body) {
        String booking = (String) body.get("booking");
        if (bookings.containsKey(booking)) {
            return Web.Answer.ok(Map.of("hosts", bookings.get(booking)));
        }
        long count = Math.min(Math.min(50, Json.number(body, "count", 0)), capacity - countIn((String) body.get("site")));
        if (count <= 0) {
            return Web.Answer.error(503, "no capacity");
        }
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine(
                    String.format("i-%06d", ++last),
                    (String) body.get("model"),
                    (String) body.get("site"),
                    Boolean.TRUE.equals(body.get("loaner")),
                    System.nanoTime());
            machines.put(machine.id(), machine);
            hosts.add(machine.id());
            boot.accept(machine);
        }
        bookings.put(booking, hosts);
        return Web.Answer.ok(Map.of("hosts", hosts));
    }

    private long countIn(String site) {
        return machines.values().stream()
                .filter(machine -> machine.site().equals(site))
                .count();
    }

    private Web.Answer list(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.tailMap(from, false).values()) {
            if (list.size() == most) {
                more = true;
                break;
            }
            Worker worker = workers.get(machine.id());
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", machine.id());
            fields.put("address", worker == null ? "127.0.0.1:1" : worker.address);
            fields.put("model", machine.model());
            fields.put("site", machine.site());
            fields.put("loaner", machine.loaner());
            fields.put("status", worker == null ? "starting" : "running");
            fields.put("held_s", (System.nanoTime() - machine.rentedNanos()) / 1e9);
            list.add(fields);
        }
        return Web.Answer.ok(Map.of("hosts", list, "has_next", more));
    }
}
