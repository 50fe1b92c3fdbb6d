package org.granitepath.coordination.config;

/**
 * How much capacity is kept that nothing uses.
 *
 * @param idleTimeoutFactor how long a machine may stand idle, in boot times of its type; {@code spotIdleTimeoutFactor} likewise
 * @param maxHeadroomShare most capacity kept for live services to come, as a share of what the present ones use
 */
public record ScalingPolicy(double idleTimeoutFactor, double spotIdleTimeoutFactor, double maxHeadroomShare) {}
