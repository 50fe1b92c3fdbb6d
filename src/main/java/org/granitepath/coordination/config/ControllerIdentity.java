package org.granitepath.coordination.config;

/**
 * Identity of a controller process.
 *
 * @param node the name of the controller
 * @param incarnation distinguishes this process from earlier processes of the same name
 * @param zone the zone in which the controller runs
 */
public record ControllerIdentity(String node, String incarnation, String zone) {}
