package org.granitepath.coordination.model;

/**
 * The class of a job. Jobs are ordered by class first, whatever their shares. Live services come first, then work
 * within the guarantee of its team. Of the rest, jobs that can all meet their deadlines together come before jobs that
 * can meet the largest multiple of their deadline that the objectives name; jobs that will be late anyway or have no
 * deadline come last.
 */
public enum SchedulingClass {
    /** A service whose users wait for its start. */
    LIVE_SERVICE,
    /** Within the guaranteed quota of its team. */
    GUARANTEED,
    /** Meets its deadline together with all other jobs of this class. */
    MEETS_DEADLINE,
    /** Meets the largest multiple of its deadline that the objectives name. */
    MEETS_EXTENDED_DEADLINE,
    /** Late even so, or without a deadline. */
    OTHER
}
