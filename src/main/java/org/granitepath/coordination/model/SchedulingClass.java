package org.granitepath.coordination.model;

/**
 * Which jobs go first, whatever their shares. Live services come first, then what is within its team's guarantee. Of
 * the rest, jobs that can make their deadlines all together go before those that can make the longest multiple that the
 * objectives name, and these before what is late all the same or has no deadline.
 */
public enum SchedulingClass {
    /** A service whose start its users wait for. */
    LIVE_SERVICE,
    /** Within the guaranteed quota of its team. */
    GUARANTEED,
    /** Makes its deadline together with all others that do. */
    MEETS_DEADLINE,
    /** Makes the longest multiple of its deadline that the objectives name. */
    MEETS_EXTENDED_DEADLINE,
    /** Late all the same, or without a deadline. */
    OTHER
}
