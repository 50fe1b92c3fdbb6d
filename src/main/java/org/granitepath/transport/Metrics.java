package org.granitepath.transport;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and latencies of the requests served. The registry is made when first asked for: starts stay short. */
final class Metrics {
    private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
    private static final long LONGEST_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final Map<String, Histogram> latencies = new TreeMap<>();
    /** Counts by kind of request and status, with a space between. */
    private final Object2LongOpenHashMap<String> answers = new Object2LongOpenHashMap<>();

    private long unreadableHeartbeats;
    private Connections connections;
    private Supplier<RecoveryStatus> recovery;
    private SimpleMeterRegistry registry;

    /** A heartbeat that can't be read came from this address. Such heartbeats may come without end: few are logged. */
    void unreadableHeartbeat(String address) {
        unreadableHeartbeats++;
        if (Long.bitCount(unreadableHeartbeats) == 1) {
            LOG.warn("a heartbeat from {} can't be read ({} such heartbeats so far)", address, unreadableHeartbeats);
        }
    }

    /** These connections are to be counted. */
    void watch(Connections held) {
        connections = held;
    }

    /** This state of the recovery is to be shown. */
    void watch(Supplier<RecoveryStatus> recoveryStatus) {
        recovery = recoveryStatus;
    }

    /** Counts a request of this kind that was answered. */
    void served(String request, int status, long micros) {
        latencies
                .computeIfAbsent(request, unused -> new Histogram(LONGEST_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(micros, LONGEST_MICROS)));
        answers.addTo(request + " " + status, 1);
    }

    /** The phase is a set of gauges of which the present one is 1; all are 0 while this controller has no term. */
    private void registerRecovery() {
        for (RecoveryPhase phase : RecoveryPhase.values()) {
            Gauge.builder(
                            "granitepath.recovery.phase",
                            recovery,
                            status -> status.get().phase() == phase ? 1 : 0)
                    .tags("phase", RecoveryLabels.of(phase))
                    .register(registry);
        }
        Gauge.builder(
                        "granitepath.recovery.machines.missing",
                        recovery,
                        status -> status.get().machinesMissing())
                .register(registry);
        Gauge.builder(
                        "granitepath.recovery.records.unreadable",
                        recovery,
                        status -> status.get().unreadableRecords())
                .register(registry);
        for (Verdict verdict : Verdict.values()) {
            Gauge.builder(
                            "granitepath.recovery.tasks",
                            recovery,
                            status -> status.get().tasks().getOrDefault(verdict, 0))
                    .tags("verdict", RecoveryLabels.of(verdict))
                    .register(registry);
        }
    }

    /** One line a meter: name, tags, value. */
    String text() {
        if (registry == null) {
            registry = new SimpleMeterRegistry();
            registerRecovery();
            registerConnections();
        }
        // Requests of a kind may have come for the first time since: what is registered already stays as it is.
        registerLatencies();
        registerAnswers();
        StringBuilder text = new StringBuilder();
        for (Meter meter : registry.getMeters()) {
            text.append(meter.getId().getName()).append(meter.getId().getTags()).append(' ');
            meter.measure().forEach(measurement -> text.append(measurement.getValue()));
            text.append('\n');
        }
        return text.toString();
    }

    private void registerConnections() {
        Gauge.builder("granitepath.reports.unreadable", this, metrics -> metrics.unreadableHeartbeats)
                .register(registry);
        Gauge.builder("granitepath.connections", connections, Connections::machines)
                .tags("of", "machines")
                .register(registry);
        Gauge.builder("granitepath.connections", connections, Connections::others)
                .tags("of", "others")
                .register(registry);
    }

    private void registerLatencies() {
        for (Map.Entry<String, Histogram> latency : latencies.entrySet()) {
            for (double percentile : PERCENTILES) {
                Gauge.builder(
                                "granitepath.request.micros",
                                latency.getValue(),
                                histogram -> histogram.getValueAtPercentile(percentile))
                        .tags("request", latency.getKey(), "percentile", String.valueOf(percentile))
                        .register(registry);
            }
        }
    }

    private void registerAnswers() {
        for (String key : answers.keySet()) {
            int space = key.lastIndexOf(' ');
            Gauge.builder("granitepath.request.answers", answers, counts -> counts.getLong(key))
                    .tags(Tags.of("request", key.substring(0, space), "status", key.substring(space + 1)))
                    .register(registry);
        }
    }
}
