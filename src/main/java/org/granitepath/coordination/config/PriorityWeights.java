package org.granitepath.coordination.config;

/**
 * Fair-share weight of each priority: how much of the capacity a job is to get relative to other jobs. It is the factor
 * P in the formula of the paper that the scheduler's fair share follows.
 */
public record PriorityWeights(double critical, double high, double standard, double bestEffort) {}
