package org.granitepath.transport;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.HashMap;
import java.util.Map;
import org.granitepath.protocol.RecoveryLabels;
import org.granitepath.recovery.RecoveryPhase;
import org.granitepath.recovery.RecoveryTracer;

/**
 * Records a recovery as OpenTelemetry spans: one for the term, with a child span for each phase and for each
 * unconfirmed machine. The span of the term ends with the recovery or with the term, whichever is first. The SDK that
 * is provided at run time decides where spans are exported; without an SDK nothing is recorded.
 */
public final class OpenTelemetryRecoveryTracer implements RecoveryTracer {
    private static final AttributeKey<Long> FENCING_TOKEN = AttributeKey.longKey("granitepath.fencing_token");
    private static final AttributeKey<String> REASON = AttributeKey.stringKey("granitepath.reason");
    private static final AttributeKey<String> MACHINE = AttributeKey.stringKey("granitepath.machine");
    private static final AttributeKey<String> PROOF = AttributeKey.stringKey("granitepath.proof");

    private final Tracer tracer;
    private final Map<String, Span> machineSpans = new HashMap<>();
    private Span termSpan = Span.getInvalid();
    private Span phaseSpan = Span.getInvalid();

    /** Creates a tracer that records spans through {@code openTelemetry}. */
    public OpenTelemetryRecoveryTracer(OpenTelemetry openTelemetry) {
        this.tracer = openTelemetry.getTracer("org.granitepath.recovery");
    }

    @Override
    public void onTermBegan(long fencingToken) {
        endAllSpans();
        termSpan = tracer.spanBuilder("recovery")
                .setNoParent()
                .setAttribute(FENCING_TOKEN, fencingToken)
                .startSpan();
    }

    @Override
    public void onPhaseEntered(RecoveryPhase next, String reason) {
        phaseSpan.end();
        if (next == RecoveryPhase.RECOVERED) {
            endAllSpans();
            return;
        }
        phaseSpan = startChild(RecoveryLabels.of(next));
        phaseSpan.setAttribute(REASON, reason);
    }

    @Override
    public void onMachineAwaited(String machine) {
        Span span = startChild("machine in doubt");
        span.setAttribute(MACHINE, machine);
        machineSpans.put(machine, span);
    }

    @Override
    public void onMachineResolved(String machine, String proof) {
        Span span = machineSpans.remove(machine);
        if (span != null) {
            span.setAttribute(PROOF, proof);
            span.end();
        }
    }

    @Override
    public void onTermEnded() {
        endAllSpans();
    }

    private Span startChild(String name) {
        return tracer.spanBuilder(name).setParent(Context.root().with(termSpan)).startSpan();
    }

    private void endAllSpans() {
        machineSpans.values().forEach(Span::end);
        machineSpans.clear();
        phaseSpan.end();
        termSpan.end();
    }
}
