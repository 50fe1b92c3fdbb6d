package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import org.granitepath.recovery.LiveWorkBacklog;
import org.granitepath.recovery.MachineProfile;
import org.granitepath.recovery.RecoveryPlan;
import org.junit.jupiter.api.Test;

/** The spans that a recovery records. */
class OpenTelemetryRecoveryTracerTest {
    private static final MachineProfile PROFILE = new MachineProfile("small", "north", false);

    private final InMemorySpanExporter exporter = InMemorySpanExporter.create();
    private final OpenTelemetryRecoveryTracer tracer = new OpenTelemetryRecoveryTracer(OpenTelemetrySdk.builder()
            .setTracerProvider(SdkTracerProvider.builder()
                    .addSpanProcessor(SimpleSpanProcessor.create(exporter))
                    .build())
            .build());

    private List<String> finishedSpanNames() {
        return exporter.getFinishedSpanItems().stream().map(SpanData::getName).toList();
    }

    private RecoveryPlan plan() {
        RecoveryPlan plan = new RecoveryPlan(7, 1_000_000, tracer);
        plan.takeOverMachine("a", PROFILE);
        plan.takeOverMachine("b", PROFILE);
        plan.onRecordsRead(42, 0);
        return plan;
    }

    @Test
    void termPhasesAndUnconfirmedMachinesHaveOneSpanEach() {
        RecoveryPlan plan = plan();
        plan.resolveMachine("a", PROFILE, "heard");
        plan.onCycleEnded(LiveWorkBacklog.NONE);
        plan.resolveMachine("b", PROFILE, "its lease is over");
        assertEquals(
                List.of(
                        "reading",
                        "machine in doubt",
                        "reconciling",
                        "resuming_live",
                        "machine in doubt",
                        "resuming_batch",
                        "recovery"),
                finishedSpanNames());
        List<SpanData> spans = exporter.getFinishedSpanItems();
        String termSpanId = spans.get(spans.size() - 1).getSpanId();
        assertTrue(spans.stream()
                .limit(spans.size() - 1)
                .allMatch(span -> span.getParentSpanId().equals(termSpanId)));
    }

    /** A term that ends before its recovery leaves no span open. */
    @Test
    void endOfTheTermEndsAllItsSpans() {
        plan().end();
        assertEquals(
                2,
                finishedSpanNames().stream().filter("machine in doubt"::equals).count());
        assertTrue(finishedSpanNames().containsAll(List.of("reconciling", "recovery")));
    }
}
