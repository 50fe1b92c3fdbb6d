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
 * A recovery as spans: one for the term, and under it one for each phase and each machine unconfirmed. The term's span
 * ends with the recovery or, if that is sooner, with the term. Where spans go is decided by whoever provides the SDK;
 * without one nothing is recorded.
 */
public final class OpenTelemetryRecoveryTracer implements RecoveryTracer {
    private static final AttributeKey<Long> FENCING_TOKEN = AttributeKey.longKey("granitepath.fencing_token");
    private static final AttributeKey<String> REASON = AttributeKey.stringKey("granitepath.reason");
    private static final AttributeKey<String> MACHINE = AttributeKey.stringKey("granitepath.machine");
    private static final AttributeKey<String> PROOF = AttributeKey.stringKey("granitepath.proof");

    private final Tracer tracer;
    private final Map<String, Span> machines = new HashMap<>();
    private Span term = Span.getInvalid();
    private Span phase = Span.getInvalid();

    /** Records through this instance. */
    public OpenTelemetryRecoveryTracer(OpenTelemetry openTelemetry) {
        this.tracer = openTelemetry.getTracer("org.granitepath.recovery");
    }

    @Override
    public void onTermBegan(long fencingToken) {
        end();
        term = tracer.spanBuilder("recovery")
                .setNoParent()
                .setAttribute(FENCING_TOKEN, fencingToken)
                .startSpan();
    }

    @Override
    public void onPhaseEntered(RecoveryPhase next, String reason) {
        phase.end();
        if (next == RecoveryPhase.RECOVERED) {
            end();
            return;
        }
        phase = child(RecoveryLabels.of(next));
        phase.setAttribute(REASON, reason);
    }

    @Override
    public void onMachineAwaited(String machine) {
        Span span = child("machine in doubt");
        span.setAttribute(MACHINE, machine);
        machines.put(machine, span);
    }

    @Override
    public void onMachineResolved(String machine, String proof) {
        Span span = machines.remove(machine);
        if (span != null) {
            span.setAttribute(PROOF, proof);
            span.end();
        }
    }

    @Override
    public void onTermEnded() {
        end();
    }

    private Span child(String name) {
        return tracer.spanBuilder(name).setParent(Context.root().with(term)).startSpan();
    }

    private void end() {
        machines.values().forEach(Span::end);
        machines.clear();
        phase.end();
        term.end();
    }
}
