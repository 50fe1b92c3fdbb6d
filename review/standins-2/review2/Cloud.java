package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A cloud with machines that are up at the start, and capacity for a number of further ones. */
final class Cloud extends Server {
    record Type(String name, double cpus, double memory, double rate, double market, double boot, List<String> sites) {}

    /** Makes the worker of a new machine, which is up after {@code bootMillis}. */
    interface NewMachine {
        Worker create(String id, String model, String site, boolean loaner);
    }

    private final Record record;
    private final List<Type> types;
    private final Map<String, List<String>> bookings = new LinkedHashMap<>();
    private NewMachine newMachine;
    private int capacity;
    private long bootMillis;
    private int machineCount = 100;
    private final Map<String, Worker> machines = new LinkedHashMap<>();

    Cloud(Record record, List<Type> types) {
        this.record = record;
        this.types = types;
        listen();
    }

    /** Lets the cloud rent that many ordinary machines, each up after the time given. */
    synchronized void setCapacity(int machines, long bootTimeMillis, NewMachine create) {
        capacity = machines;
        bootMillis = bootTimeMillis;
        newMachine = create;
    }

    private Answer rent(Map<String, Object> body) {
        String booking = (String) body.get("booking");
        if (!bookings.containsKey(booking)) {
            boolean loaner = Boolean.TRUE.equals(body.get("loaner"));
            int count = Math.min(capacity, ((Number) body.get("count")).intValue());
            if (count == 0 || loaner) {
                record.line("cloud: %s -> no capacity", body);
                return Answer.error(503, "no capacity");
            }
            capacity -= count;
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String id = String.format("i-%06d", ++machineCount);
                Worker worker = newMachine.create(id, (String) body.get("model"), (String) body.get("site"), loaner);
                machines.put(id, worker);
                ids.add(id);
                Thread boot = new Thread(() -> {
                    try {
                        Thread.sleep(bootMillis);
                        record.line("cloud: %s is up", id);
                        worker.start();
                    } catch (InterruptedException e) {
                        // never up
                    }
                });
                boot.setDaemon(true);
                boot.start();
            }
            bookings.put(booking, ids);
            record.line("cloud: %s -> %s", body, ids);
        }
        return Answer.ok(Map.of("hosts", bookings.get(booking)));
    }

    synchronized void add(Worker worker) {
        machines.put(worker.id, worker);
    }

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        if (path.equals("/flavors")) {
            return Answer.ok(Map.of("models", types.stream().map(Cloud::row).toList()));
        } else if (path.equals("/rentals/return")) {
            for (Object id : (List<?>) body.getOrDefault("hosts", List.of())) {
                record.line("cloud: %s is returned", id);
                Worker worker = machines.remove(String.valueOf(id));
                if (worker != null) {
                    worker.close();
                }
            }
            return Answer.ok(Map.of());
        } else if (path.equals("/rentals") && method.equals("POST")) {
            return rent(body);
        } else if (path.equals("/rentals")) {
            List<Object> rows = new ArrayList<>();
            String from = query.getOrDefault("from", "");
            for (Worker worker : machines.values()) {
                if (worker.id.compareTo(from) > 0) {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put("uid", worker.id);
                    row.put("address", worker.address());
                    row.put("model", worker.model);
                    row.put("site", worker.site);
                    row.put("loaner", false);
                    row.put("status", "running");
                    row.put("held_s", 100.0 + record.nowMillis() / 1e3);
                    rows.add(row);
                }
            }
            return Answer.ok(Map.of("hosts", rows, "has_next", false));
        }
        return Answer.error(400, "unknown request");
    }

    private static Map<String, Object> row(Type type) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("sku", type.name());
        row.put("cpus", type.cpus());
        row.put("cards", 0);
        row.put("mem_gb", type.memory());
        row.put("cache_gb", 60.0);
        row.put("fetch_gb_per_s", 0.25);
        row.put("rate", type.rate());
        row.put("market_price", type.market());
        row.put("ready_s", type.boot());
        row.put("sites", type.sites());
        return row;
    }
}
