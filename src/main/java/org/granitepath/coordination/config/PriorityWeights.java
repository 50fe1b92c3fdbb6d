package org.granitepath.coordination.config;

/** P of the paper for each priority: how much of the capacity a job is to have beside others. */
public record PriorityWeights(double critical, double high, double standard, double bestEffort) {}
