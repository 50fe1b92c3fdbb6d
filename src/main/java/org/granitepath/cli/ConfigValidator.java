package org.granitepath.cli;

import java.util.Collection;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;

/** Rejects settings that are valid individually but contradict each other. */
final class ConfigValidator {
    private static final int MIN_HEARTBEATS_PER_LEASE = 2;
    private static final double MICROS_PER_TENTH_SECOND = 1e5;
    private static final int TENTHS_PER_SECOND = 10;

    private ConfigValidator() {}

    /**
     * Validates a configuration.
     *
     * @param liveFirst whether {@code --live-first} is set
     * @throws InvalidSettingException for the first contradiction
     */
    static void validate(Config config, boolean liveFirst) throws InvalidSettingException {
        validateHold(config.tuning(), liveFirst);
        validateTimes(config.workers());
        validateTeams(config.teams().values());
    }

    /** Rejects a recovery hold that contradicts {@code --live-first} or the limit on starvation. */
    private static void validateHold(Tuning tuning, boolean liveFirst) throws InvalidSettingException {
        if (liveFirst && tuning.recoveryHoldMicros() == 0) {
            throw new InvalidSettingException("recovery-hold-s is 0, but --live-first requires a hold");
        }
        if (tuning.recoveryHoldMicros() >= tuning.maxStarvationMicros()) {
            throw new InvalidSettingException("recovery-hold-s must be less than max-starvation-s");
        }
    }

    /** Rejects times with which no controller could meet the time limits of leases and cancellations. */
    private static void validateTimes(WorkerTiming times) throws InvalidSettingException {
        if (times.leaseMicros() < MIN_HEARTBEATS_PER_LEASE * times.heartbeatIntervalMicros()) {
            throw new InvalidSettingException(
                    "facts.workers.lease_s must be at least twice report_s, or leases expire between heartbeats");
        }
        if (times.maxDisconnectedMicros() < WorkerTiming.MIN_DISCONNECTED_MICROS) {
            long minGapMicros = times.cancellationTimeoutMicros()
                    - times.maxDisconnectedMicros()
                    + WorkerTiming.MIN_DISCONNECTED_MICROS
                    - times.leaseMicros();
            double minGapSeconds = Math.ceil(minGapMicros / MICROS_PER_TENTH_SECOND) / TENTHS_PER_SECOND;
            throw new InvalidSettingException("facts.workers.cancel_s must be more than lease_s by at least "
                    + minGapSeconds + " s, or cancelled tasks could run past the cancellation timeout");
        }
    }

    private static void validateTeams(Collection<Team> teams) throws InvalidSettingException {
        for (Team team : teams) {
            if (team.cpuGuaranteeMillis() < 0
                    || team.cpuLimitMillis() < 0
                    || team.gpuGuaranteeMillis() < 0
                    || team.gpuLimitMillis() < 0) {
                throw new InvalidSettingException(
                        "facts.teams: team " + team.name() + ": guarantees and limits must not be negative");
            }
            if (exceeds(team.cpuGuaranteeMillis(), team.cpuLimitMillis())
                    || exceeds(team.gpuGuaranteeMillis(), team.gpuLimitMillis())) {
                throw new InvalidSettingException(
                        "facts.teams: team " + team.name() + " has a guarantee above its limit");
            }
        }
    }

    /** Returns whether a guarantee exceeds its limit. A limit of 0 means that there is no limit. */
    private static boolean exceeds(long guarantee, long limit) {
        return limit > 0 && guarantee > limit;
    }
}
