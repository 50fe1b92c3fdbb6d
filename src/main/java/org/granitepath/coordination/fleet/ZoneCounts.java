package org.granitepath.coordination.fleet;

/** How many machines there are in one zone and in all others, and how many of them have an overdue heartbeat. */
record ZoneCounts(int machines, int overdue, int machinesElsewhere, int overdueElsewhere) {
    /** A zone with fewer machines than this tells nothing. */
    private static final int LEAST_MACHINES = 4;
    /** Overdue share of a zone's machines, and at most of the others', for the zone to count as cut off. */
    private static final double CUT_OFF_SHARE = 0.7;

    private static final double CUT_OFF_SHARE_ELSEWHERE = 0.3;
    private static final double SUSPECTED_SHARE = 0.2;

    /** Whether the machines of this zone can't be reached, and those of the others can. */
    boolean isCutOff() {
        return machines >= LEAST_MACHINES
                && overdue >= CUT_OFF_SHARE * machines
                && overdueElsewhere < CUT_OFF_SHARE_ELSEWHERE * machinesElsewhere;
    }

    /** Whether many machines of this zone are overdue: perhaps a cut of which only the beginning shows. */
    boolean isSuspected() {
        return overdue > SUSPECTED_SHARE * machines;
    }
}
