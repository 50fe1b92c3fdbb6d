package org.granitepath.recovery;

/**
 * Receives the events of a recovery for metrics and traces. No decision depends on it. An event happens at the time of
 * the call, on the caller's monotonic clock.
 */
public interface RecoveryTracer {
    /** Ignores all events. */
    RecoveryTracer NONE = new RecoveryTracer() {
        @Override
        public void onTermBegan(long fencingToken) {}

        @Override
        public void onPhaseEntered(RecoveryPhase phase, String reason) {}

        @Override
        public void onMachineAwaited(String machine) {}

        @Override
        public void onMachineResolved(String machine, String proof) {}

        @Override
        public void onTermEnded() {}
    };

    /** A term of leadership has begun. */
    void onTermBegan(long fencingToken);

    /** The recovery has entered a phase, for the given reason. */
    void onPhaseEntered(RecoveryPhase phase, String reason);

    /** A machine was taken over. The tasks on it are unconfirmed. */
    void onMachineAwaited(String machine);

    /** The tasks on a machine that was taken over are known, or the machine is gone, according to the given proof. */
    void onMachineResolved(String machine, String proof);

    /** The term has ended, whatever phase the recovery has reached. */
    void onTermEnded();
}
