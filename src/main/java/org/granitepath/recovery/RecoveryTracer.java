package org.granitepath.recovery;

/**
 * Is told how a recovery goes, for metrics and traces; nothing is decided by it. Times are those of the caller's steady
 * clock.
 */
public interface RecoveryTracer {
    /** Tells nobody. */
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

    /** The recovery has reached a phase. */
    void onPhaseEntered(RecoveryPhase phase, String reason);

    /** A machine was taken over; what is on it is unconfirmed. */
    void onMachineAwaited(String machine);

    /** What is on the machine is known, or it is gone. */
    void onMachineResolved(String machine, String proof);

    /** The term is over, whatever the recovery has reached. */
    void onTermEnded();
}
