package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryStatus.Role;
import org.junit.jupiter.api.Test;

/** The lines of GET /metrics, on which operators' dashboards depend. */
class MetricsTest {
    private static final int LATENCY_MICROS = 1_000;

    private final Metrics metrics = new Metrics(
            new ConnectionLimiter(8, 16),
            () -> RecoveryStatus.withoutTerm("n0", Role.FOLLOWING, "n1", "follows", 0, 3));

    private List<String> linesOf(String name) {
        return metrics.text()
                .lines()
                .filter(line -> line.startsWith(name))
                .sorted()
                .toList();
    }

    @Test
    void responsesAreCountedByRequestAndStatus() {
        metrics.recordRequest("submit", 201, LATENCY_MICROS);
        metrics.recordRequest("submit", 201, LATENCY_MICROS);
        metrics.recordRequest("poll", 503, LATENCY_MICROS);
        assertEquals(
                List.of(
                        "granitepath.request.answers[tag(request=poll), tag(status=503)] 1.0",
                        "granitepath.request.answers[tag(request=submit), tag(status=201)] 2.0"),
                linesOf("granitepath.request.answers"));
    }

    @Test
    void latenciesHaveTheSamePercentilesForEachRequest() {
        metrics.recordRequest("poll", 200, 100);
        assertEquals(
                List.of(
                        "granitepath.request.micros[tag(percentile=100.0), tag(request=poll)] 100.0",
                        "granitepath.request.micros[tag(percentile=50.0), tag(request=poll)] 100.0",
                        "granitepath.request.micros[tag(percentile=90.0), tag(request=poll)] 100.0",
                        "granitepath.request.micros[tag(percentile=99.0), tag(request=poll)] 100.0"),
                linesOf("granitepath.request.micros"));
    }

    /** The histogram covers up to one minute. Values out of its range count as its nearest bound and do not fail. */
    @Test
    void latenciesOutOfRangeAreCounted() {
        metrics.recordRequest("poll", 200, -1);
        metrics.recordRequest("poll", 200, Long.MAX_VALUE);
        assertEquals(4, linesOf("granitepath.request.micros").size());
    }

    @Test
    void requestsSinceTheLastReadAreIncluded() {
        metrics.recordRequest("poll", 200, LATENCY_MICROS);
        assertEquals(1, linesOf("granitepath.request.answers").size());
        metrics.recordRequest("poll", 200, LATENCY_MICROS);
        metrics.recordRequest("cancel", 200, LATENCY_MICROS);
        assertEquals(
                List.of(
                        "granitepath.request.answers[tag(request=cancel), tag(status=200)] 1.0",
                        "granitepath.request.answers[tag(request=poll), tag(status=200)] 2.0"),
                linesOf("granitepath.request.answers"));
    }

    @Test
    void unreadableHeartbeatsAreCounted() {
        metrics.recordUnreadableHeartbeat("10.1.0.2:9000");
        metrics.recordUnreadableHeartbeat("10.1.0.3:9000");
        assertEquals(List.of("granitepath.reports.unreadable[] 2.0"), linesOf("granitepath.reports.unreadable"));
    }

    @Test
    void connectionsAreCountedByKindOfClient() {
        assertEquals(
                List.of("granitepath.connections[tag(of=machines)] 0.0", "granitepath.connections[tag(of=others)] 0.0"),
                linesOf("granitepath.connections"));
    }

    @Test
    void controllerWithoutTermHasNoRecoveryPhase() {
        List<String> phases = linesOf("granitepath.recovery.phase");
        assertEquals(5, phases.size());
        assertTrue(phases.stream().allMatch(line -> line.endsWith(" 0.0")), phases.toString());
    }

    @Test
    void unreadableRecordsAreCounted() {
        assertEquals(
                List.of("granitepath.recovery.records.unreadable[] 3.0"),
                linesOf("granitepath.recovery.records.unreadable"));
    }
}
