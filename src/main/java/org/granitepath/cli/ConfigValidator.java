package org.granitepath.cli;

import java.util.Collection;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.config.WorkerTiming;

/** Finds settings that are well-formed each by itself but contradict each other. */
final class ConfigValidator {
    private static final int MIN_HEARTBEATS_PER_LEASE = 2;
    private static final double MICROS_PER_TENTH_SECOND = 1e5;
    private static final int TENTHS_PER_SECOND = 10;

    private ConfigValidator() {}

    /** Reports the first contradiction. */
    static void validate(Config config, boolean liveFirst) throws InvalidSettingException {
        validateHold(config.tuning(), liveFirst);
        validateTimes(config.workers());
        validateTeams(config.teams().values());
    }

    /** A hold that contradicts what else was asked for. */
    private static void validateHold(Tuning tuning, boolean liveFirst) throws InvalidSettingException {
        if (liveFirst && tuning.recoveryHoldMicros() == 0) {
            throw new InvalidSettingException("recovery-hold-s is 0, but --live-first asks for a hold");
        }
        if (tuning.recoveryHoldMicros() >= tuning.maxStarvationMicros()) {
            throw new InvalidSettingException("recovery-hold-s must be less than max-starvation-s");
        }
    }

    /** Times under which no rule could be kept, whatever the service does. */
    private static void validateTimes(WorkerTiming times) throws InvalidSettingException {
        if (times.leaseMicros() < MIN_HEARTBEATS_PER_LEASE * times.heartbeatIntervalMicros()) {
            throw new InvalidSettingException(
                    "facts.workers.lease_s must be at least twice report_s, or leases run out between reports");
        }
        if (times.maxDisconnectedMicros() < WorkerTiming.MIN_DISCONNECTED_MICROS) {
            long leastGapMicros = times.cancellationTimeoutMicros()
                    - times.maxDisconnectedMicros()
                    + WorkerTiming.MIN_DISCONNECTED_MICROS
                    - times.leaseMicros();
            double leastGapSeconds = Math.ceil(leastGapMicros / MICROS_PER_TENTH_SECOND) / TENTHS_PER_SECOND;
            throw new InvalidSettingException("facts.workers.cancel_s must be more than lease_s by at least "
                    + leastGapSeconds + " s, or cancelled tasks could outlive their time");
        }
    }

    private static void validateTeams(Collection<Team> teams) throws InvalidSettingException {
        for (Team team : teams) {
            if (team.cpuGuaranteeMillis() < 0
                    || team.cpuLimitMillis() < 0
                    || team.gpuGuaranteeMillis() < 0
                    || team.gpuLimitMillis() < 0) {
                throw new InvalidSettingException(
                        "facts.teams: team " + team.name() + ": guarantees and limits can't be negative");
            }
            if (exceeds(team.cpuGuaranteeMillis(), team.cpuLimitMillis())
                    || exceeds(team.gpuGuaranteeMillis(), team.gpuLimitMillis())) {
                throw new InvalidSettingException(
                        "facts.teams: team " + team.name() + " is guaranteed more than its limit");
            }
        }
    }

    /** A limit of 0 means that there is none. */
    private static boolean exceeds(long guarantee, long limit) {
        return limit > 0 && guarantee > limit;
    }
}
