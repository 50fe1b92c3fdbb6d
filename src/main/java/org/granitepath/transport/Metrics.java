package org.granitepath.transport;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of the requests served. The registry is made when first asked for: starts stay short. */
final class Metrics {
    private static final long LONGEST_MICROS = 60_000_000;
    private static final double[] QUANTILES = {50, 90, 99, 100};

    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Object2LongOpenHashMap<String> answers = new Object2LongOpenHashMap<>();
    private Connections connections;
    private SimpleMeterRegistry registry;

    void watch(Connections held) {
        connections = held;
    }

    void served(String what, int status, long micros) {
        latencies
                .computeIfAbsent(what, k -> new Histogram(LONGEST_MICROS, 2))
                .recordValue(Math.max(0, Math.min(micros, LONGEST_MICROS)));
        answers.addTo(what + " " + status, 1);
    }

    /** One line a meter: name, tags, value. */
    String text() {
        if (registry == null) {
            registry = new SimpleMeterRegistry();
            Gauge.builder("granitepath.connections", connections, Connections::machines)
                    .tags("of", "machines")
                    .register(registry);
            Gauge.builder("granitepath.connections", connections, Connections::others)
                    .tags("of", "others")
                    .register(registry);
        }
        for (Map.Entry<String, Histogram> e : latencies.entrySet()) {
            for (double q : QUANTILES) {
                Gauge.builder("granitepath.request.micros", e.getValue(), h -> h.getValueAtPercentile(q))
                        .tags("request", e.getKey(), "percentile", String.valueOf(q))
                        .register(registry);
            }
        }
        for (String key : answers.keySet()) {
            int space = key.lastIndexOf(' ');
            Gauge.builder("granitepath.request.answers", answers, a -> a.getLong(key))
                    .tags(Tags.of("request", key.substring(0, space), "status", key.substring(space + 1)))
                    .register(registry);
        }
        StringBuilder text = new StringBuilder();
        for (Meter m : registry.getMeters()) {
            text.append(m.getId().getName()).append(m.getId().getTags()).append(' ');
            m.measure().forEach(v -> text.append(v.getValue()));
            text.append('\n');
        }
        return text.toString();
    }
}
