package org.granitepath.coordination.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.JobSpec;

/**
 * What the decision code needs of the settings: the platform's facts and the operators' own choices.
 *
 * @param zone where this controller stands; {@code peerZones} the other controllers, each with its zone
 * @param gangWaitMicros how long a task of a gang waits for the others before it exits
 * @param gangPeerMicros within this time the tasks of a gang notice that one of them is gone or was told to stop
 * @param storeLimits what writes to the store keep to, now and later
 */
public record Config(
        String node,
        String incarnation,
        String zone,
        Map<String, String> peerZones,
        List<String> zones,
        Map<String, Team> teams,
        Map<String, Objective> objectives,
        long heartbeatIntervalMicros,
        long leaseMicros,
        long cancelMicros,
        long gangWaitMicros,
        long gangPeerMicros,
        double storeRequestsPerSecond,
        StoreLimits storeLimits,
        double cloudRequests,
        long skewMicros,
        int maxConnections,
        Tuning tuning) {

    /** The names of the other controllers. */
    public Collection<String> peers() {
        return peerZones.keySet();
    }

    /**
     * Whether another controller stands in this zone: cut off with it, that one may keep its machines' leases alive.
     */
    public boolean peerIn(String zone) {
        return peerZones.containsValue(zone);
    }

    /** Limits in thousandths; 0: none. */
    public record Team(String name, long cpuGuarantee, long cpuLimit, long gpuGuarantee, long gpuLimit) {
        /** Whether the team is guaranteed anything. */
        public boolean hasGuarantee() {
            return cpuGuarantee > 0 || gpuGuarantee > 0;
        }
    }

    /**
     * What is expected of a class: its tasks start within {@code waitMicros} (0: not said), its jobs end within this
     * many times their deadline, or within {@code finishMicros} (0: not said).
     */
    public record Objective(long waitMicros, double deadlineTimes, long finishMicros) {
        public static final Objective NONE = new Objective(0, 0, 0);
    }

    /**
     * Operators' own choices, from the YAML file.
     *
     * @param idleShare how long a machine may stand idle, in boot times of its type; {@code idleShareSpot} likewise
     * @param deferralShare share of a class's wait or finish aim that may pass before it uses full-price machines
     * @param gangHoldMicros how long freed capacity is held for a gang that does not fit
     * @param claimBlock how many tasks of a job are claimed ahead, at least
     * @param maxStarvationMicros how long a job may be without any task before it no longer gives way to others
     * @param headroomShare most capacity kept for live services to come, as a share of what the present ones use
     * @param recoveryHoldMicros how long, after a change of leader, other work is held for services and work of the
     *     highest priority, at most; 0: not at all
     */
    public record Tuning(
            long leaderLeaseMicros,
            double idleShare,
            double idleShareSpot,
            double criticalWeight,
            double highWeight,
            double standardWeight,
            double bestEffortWeight,
            double deferralShare,
            long gangHoldMicros,
            int claimBlock,
            long maxStarvationMicros,
            double headroomShare,
            long recoveryHoldMicros) {
        private static final int BLOCKS_OF_A_WIDE_JOB = 6;
        private static final int WIDE_SERVICE = 32;

        /** What holds without a file of the operators. */
        public static Tuning defaults() {
            return new Tuning(3_000_000, 0.5, 0.7, 1000, 16, 4, 1, 0.5, 10_000_000, 6, 150_000_000, 0.08, 0);
        }

        /** The same choices with another hold. */
        public Tuning withRecoveryHold(long micros) {
            return new Tuning(
                    leaderLeaseMicros,
                    idleShare,
                    idleShareSpot,
                    criticalWeight,
                    highWeight,
                    standardWeight,
                    bestEffortWeight,
                    deferralShare,
                    gangHoldMicros,
                    claimBlock,
                    maxStarvationMicros,
                    headroomShare,
                    micros);
        }

        /** Tasks claimed with the acceptance: of work that runs together, all. */
        public int firstBlock(JobSpec spec) {
            return spec.gang()
                    ? spec.tasks()
                    : Math.min(spec.tasks(), spec.service() ? Math.max(claimBlock, WIDE_SERVICE) : claimBlock);
        }

        /** Tasks claimed ahead later on: a wide job must not wait for a write every few tasks. */
        public int nextBlock(JobSpec spec) {
            return Math.max(claimBlock, spec.tasks() / BLOCKS_OF_A_WIDE_JOB);
        }
    }

    /** Direct calls to machines under way at once, so that some that hang don't hold up the rest of a large fleet. */
    public int callsAtOnce() {
        return Math.max(8, maxConnections / 10);
    }

    /** Connections of machines that stay open between heartbeats; the rest is for users, peers and our own calls. */
    public int machineConnections() {
        return Math.max(8, maxConnections / 2);
    }

    /** All connections held open from outside; beyond, each closes after its answer. */
    public int heldConnections() {
        return Math.max(16, maxConnections * 7 / 10);
    }

    /** Connections that wait to be accepted: while a process stands still they take sockets all the same. */
    public int backlog() {
        return Math.max(16, maxConnections / 5);
    }

    /** A margin on everything timed by another machine's clock. */
    public static final long MARGIN_MICROS = 1_500_000;

    /** Without word from the store for this long a controller counts as out of contact. */
    public static final long CONTACT_TIMEOUT_MICROS = 2_500_000;

    /** A leader must be able to go from one word of the store to the next. */
    public static final long MIN_DISCONNECTED_MICROS = 1_000_000;

    /** {@code micros} on another machine's steady clock is over on ours after this long. */
    public static long withDrift(long micros) {
        return micros + micros / 900;
    }

    /** From the last answer that a worker may have had to the end of its lease, at the latest. */
    public long longestLeaseMicros() {
        return withDrift(leaseMicros) + MARGIN_MICROS;
    }

    /**
     * How long a leader out of contact with the store goes on answering workers: a cancellation that it can't
     * see must still take effect by the end of the workers' lease. Settings that leave less than
     * {@link #MIN_DISCONNECTED_MICROS} are refused.
     */
    public long maxDisconnectedMicros() {
        return cancelMicros - withDrift(leaseMicros) - 2 * MARGIN_MICROS;
    }
}
