package org.granitepath.coordination.config;

/**
 * How much unused capacity the autoscaler keeps.
 *
 * @param idleTimeoutFactor how long an on-demand machine may be idle, as a multiple of the boot time of its type
 * @param spotIdleTimeoutFactor how long a spot instance may be idle, as a multiple of the boot time of its type
 * @param maxHeadroomShare maximum capacity kept for future live services, as a share of the capacity that the present
 *     services use
 */
public record ScalingPolicy(double idleTimeoutFactor, double spotIdleTimeoutFactor, double maxHeadroomShare) {}
