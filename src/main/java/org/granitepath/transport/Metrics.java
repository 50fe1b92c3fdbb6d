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

/** Counts and latencies of the requests served. The registry is created on first use, which keeps startup short. */
final class Metrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final ConnectionLimiter connectionLimiter;
    private final Supplier<RecoveryStatus> recovery;
    private final Map<String, Histogram> latencies = new TreeMap<>();
    /** Response counts. A key is the kind of request and the status, separated by a space. */
    private final Object2LongOpenHashMap<String> responseCounts = new Object2LongOpenHashMap<>();

    private long unreadableHeartbeats;
    /** Null until the metrics are first requested. */
    private @Nullable SimpleMeterRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param connectionLimiter source of the connection counts
     * @param recovery source of the recovery status, read on each request for the metrics
     */
    Metrics(ConnectionLimiter connectionLimiter, Supplier<RecoveryStatus> recovery) {
        this.connectionLimiter = connectionLimiter;
        this.recovery = recovery;
    }

    /**
     * Counts an unreadable heartbeat from {@code address}. A worker may send such heartbeats indefinitely, so only
     * every count that is a power of two is logged.
     */
    void recordUnreadableHeartbeat(String address) {
        unreadableHeartbeats++;
        if (Long.bitCount(unreadableHeartbeats) == 1) {
            LOG.warn(
                    "{}: unreadable heartbeat rejected; {} unreadable heartbeats so far",
                    address,
                    unreadableHeartbeats);
        }
    }

    /**
     * Records a request that was answered.
     *
     * @param request the kind of request
     * @param status the HTTP status of the response
     * @param latencyMicros the latency in microseconds; values out of range count as the nearest value in range
     */
    void recordRequest(String request, int status, long latencyMicros) {
        latencies
                .computeIfAbsent(request, unused -> new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(latencyMicros, MAX_LATENCY_MICROS)));
        responseCounts.addTo(request + " " + status, 1);
    }

    /** Each phase has a gauge. The one of the current phase is 1; all are 0 while this controller has no term. */
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

    /** Returns all metrics as text, one meter on each line: name, tags, value. */
    String text() {
        MeterRegistry meters = registry();
        // New kinds of requests may have arrived since the last call. Registering an existing meter again has no
        // effect.
        registerLatencies(meters);
        registerResponseCounts(meters);
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
        Gauge.builder("granitepath.connections", connectionLimiter, ConnectionLimiter::machineConnections)
                .tags("of", "machines")
                .register(meters);
        Gauge.builder("granitepath.connections", connectionLimiter, ConnectionLimiter::otherConnections)
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

    private void registerResponseCounts(MeterRegistry meters) {
        for (String key : responseCounts.keySet()) {
            int space = key.lastIndexOf(' ');
            Gauge.builder("granitepath.request.answers", responseCounts, counts -> counts.getLong(key))
                    .tags(Tags.of("request", key.substring(0, space), "status", key.substring(space + 1)))
                    .register(meters);
        }
    }
}
