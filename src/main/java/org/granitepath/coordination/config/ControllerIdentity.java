package org.granitepath.coordination.config;

/**
 * Which controller this is.
 *
 * @param incarnation tells this process from earlier ones of the same name
 * @param zone where it stands
 */
public record ControllerIdentity(String node, String incarnation, String zone) {}
