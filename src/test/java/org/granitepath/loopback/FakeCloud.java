package org.granitepath.loopback;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.granitepath.storage.Fields;

/** A fake cloud with a fixed set of machines, all of one type. It refuses to launch more. */
final class FakeCloud extends FakeHttpServer {
    static final String TYPE = "box";
    static final String ZONE = "here";
    static final int CPUS = 4;
    /**
     * The boot time of a machine. A controller keeps idle machines for a fraction of it; with this value that is longer
     * than any test runs.
     */
    private static final int BOOT_SECONDS = 1_200;

    private final Map<String, FakeWorker> machines = new LinkedHashMap<>();

    FakeCloud(Executor executor) {
        super(executor);
        listen();
    }

    synchronized void add(FakeWorker worker) {
        machines.put(worker.id(), worker);
    }

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        if (path.equals("/flavors")) {
            return Answer.ok(Map.of("models", List.of(type())));
        } else if (path.equals("/rentals/return")) {
            terminate(Fields.listOf(body, "hosts"));
            return Answer.ok(Map.of());
        } else if (method.equals("POST")) {
            return Answer.error(503, "no capacity");
        }
        return Answer.ok(Map.of("hosts", rows(query.getOrDefault("from", "")), "has_next", false));
    }

    private void terminate(List<?> ids) {
        for (Object id : ids) {
            FakeWorker worker = machines.remove(String.valueOf(id));
            if (worker != null) {
                worker.close();
            }
        }
    }

    private static Map<String, Object> type() {
        Map<String, Object> type = new LinkedHashMap<>();
        type.put("sku", TYPE);
        type.put("cpus", (double) CPUS);
        type.put("cards", 0);
        type.put("mem_gb", 16.0);
        type.put("fetch_gb_per_s", 1.0);
        type.put("rate", 1.0);
        type.put("market_price", 0.3);
        type.put("ready_s", BOOT_SECONDS);
        type.put("sites", List.of(ZONE));
        return type;
    }

    private List<Object> rows(String from) {
        List<Object> rows = new ArrayList<>();
        for (FakeWorker worker : machines.values()) {
            if (worker.id().compareTo(from) > 0) {
                rows.add(row(worker));
            }
        }
        return rows;
    }

    private static Map<String, Object> row(FakeWorker worker) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("uid", worker.id());
        row.put("address", worker.address());
        row.put("model", TYPE);
        row.put("site", ZONE);
        row.put("loaner", false);
        row.put("status", "running");
        row.put("held_s", 1.0);
        return row;
    }
}
