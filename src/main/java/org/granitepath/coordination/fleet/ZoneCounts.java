package org.granitepath.coordination.fleet;

/**
 * The number of machines with an overdue heartbeat in one zone, compared with all other zones.
 *
 * @param machines the number of machines in the zone
 * @param overdue how many of them have an overdue heartbeat
 * @param machinesElsewhere the number of machines in all other zones
 * @param overdueElsewhere how many of those have an overdue heartbeat
 */
record ZoneCounts(int machines, int overdue, int machinesElsewhere, int overdueElsewhere) {
    /** A zone with fewer machines than this never counts as partitioned: too few machines for a conclusion. */
    private static final int MIN_MACHINES = 4;
    /**
     * For a zone to count as partitioned, at least this share of its machines must be overdue, and less than {@link
     * #MAX_OVERDUE_SHARE_ELSEWHERE} of the machines in all other zones.
     */
    private static final double PARTITIONED_SHARE = 0.7;

    private static final double MAX_OVERDUE_SHARE_ELSEWHERE = 0.3;
    private static final double SUSPECTED_SHARE = 0.2;

    /** Returns whether the heartbeats of this zone fail to arrive while those of the other zones arrive. */
    boolean isPartitioned() {
        return machines >= MIN_MACHINES
                && overdue >= PARTITIONED_SHARE * machines
                && overdueElsewhere < MAX_OVERDUE_SHARE_ELSEWHERE * machinesElsewhere;
    }

    /** Returns whether many machines of this zone are overdue, which may be the beginning of a partition. */
    boolean isPartitionSuspected() {
        return overdue > SUSPECTED_SHARE * machines;
    }
}
