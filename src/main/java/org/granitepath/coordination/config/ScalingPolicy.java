package org.granitepath.coordination.config;

/**
 * How much capacity is kept that nothing uses.
 *
 * @param idleShare how long a machine may stand idle, in boot times of its type; {@code idleShareSpot} likewise
 * @param headroomShare most capacity kept for live services to come, as a share of what the present ones use
 */
public record ScalingPolicy(double idleShare, double idleShareSpot, double headroomShare) {}
