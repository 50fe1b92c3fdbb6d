package org.granitepath.transport;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.granitepath.protocol.RecoveryLabels;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.Verdict;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and latencies of the requests served. The registry is made when first asked for: starts stay short. */
final class Metrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final long LONGEST_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final ConnectionLimiter connections;
    private final Supplier<RecoveryStatus> recovery;
    private final Map<String, Histogram> latencies = new TreeMap<>();
    /** Counts by kind of request and status, with a space between. */
    private final Object2LongOpenHashMap<String> answers = new Object2LongOpenHashMap<>();

    private long unreadableHeartbeats;
    /** Null until the metrics are first asked for. */
    private @Nullable SimpleMeterRegistry registry;

    /** Shows these connections and this state of the recovery beside what it is told. */
    Metrics(ConnectionLimiter connections, Supplier<RecoveryStatus> recovery) {
        this.connections = connections;
        this.recovery = recovery;
    }

    /** A heartbeat that can't be read came from this address. Such heartbeats may come without end: few are logged. */
    void recordUnreadableHeartbeat(String address) {
        unreadableHeartbeats++;
        if (Long.bitCount(unreadableHeartbeats) == 1) {
            LOG.warn("a heartbeat from {} can't be read ({} such heartbeats so far)", address, unreadableHeartbeats);
        }
    }

    /** Counts a request of this kind that was answered. */
    void recordRequest(String request, int status, long micros) {
        latencies
                .computeIfAbsent(request, unused -> new Histogram(LONGEST_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(micros, LONGEST_MICROS)));
        answers.addTo(request + " " + status, 1);
    }

    /** The phase is a set of gauges of which the present one is 1; all are 0 while this controller has no term. */
    private void registerRecovery(MeterRegistry meters) {
        for (RecoveryPhase phase : RecoveryPhase.values()) {
            Gauge.builder(
                            "granitepath.recovery.phase",
                            recovery,
                            status -> status.get().phase() == phase ? 1 : 0)
                    .tags("phase", RecoveryLabels.of(phase))
                    .register(meters);
        }
        Gauge.builder(
                        "granitepath.recovery.machines.missing",
                        recovery,
                        status -> status.get().awaitedMachineCount())
                .register(meters);
        Gauge.builder(
                        "granitepath.recovery.records.unreadable",
                        recovery,
                        status -> status.get().unreadableRecords())
                .register(meters);
        for (Verdict verdict : Verdict.values()) {
            Gauge.builder(
                            "granitepath.recovery.tasks",
                            recovery,
                            status -> status.get().taskCountsByVerdict().getOrDefault(verdict, 0))
                    .tags("verdict", RecoveryLabels.of(verdict))
                    .register(meters);
        }
    }

    /** One line a meter: name, tags, value. */
    String text() {
        MeterRegistry meters = registry();
        // Requests of a kind may have come for the first time since: what is registered already stays as it is.
        registerLatencies(meters);
        registerAnswers(meters);
        StringBuilder text = new StringBuilder();
        for (Meter meter : meters.getMeters()) {
            text.append(meter.getId().getName()).append(meter.getId().getTags()).append(' ');
            meter.measure().forEach(measurement -> text.append(measurement.getValue()));
            text.append('\n');
        }
        return text.toString();
    }

    private MeterRegistry registry() {
        if (registry == null) {
            registry = new SimpleMeterRegistry();
            registerRecovery(registry);
            registerConnections(registry);
        }
        return registry;
    }

    private void registerConnections(MeterRegistry meters) {
        Gauge.builder("granitepath.reports.unreadable", this, metrics -> metrics.unreadableHeartbeats)
                .register(meters);
        Gauge.builder("granitepath.connections", connections, ConnectionLimiter::machines)
                .tags("of", "machines")
                .register(meters);
        Gauge.builder("granitepath.connections", connections, ConnectionLimiter::others)
                .tags("of", "others")
                .register(meters);
    }

    private void registerLatencies(MeterRegistry meters) {
        for (Map.Entry<String, Histogram> latency : latencies.entrySet()) {
            for (double percentile : PERCENTILES) {
                Gauge.builder(
                                "granitepath.request.micros",
                                latency.getValue(),
                                histogram -> histogram.getValueAtPercentile(percentile))
                        .tags("request", latency.getKey(), "percentile", String.valueOf(percentile))
                        .register(meters);
            }
        }
    }

    private void registerAnswers(MeterRegistry meters) {
        for (String key : answers.keySet()) {
            int space = key.lastIndexOf(' ');
            Gauge.builder("granitepath.request.answers", answers, counts -> counts.getLong(key))
                    .tags(Tags.of("request", key.substring(0, space), "status", key.substring(space + 1)))
                    .register(meters);
        }
    }
}
