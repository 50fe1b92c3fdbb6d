package org.granitepath.simulation;

import java.util.List;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;

/** The controllers as simulated machines reach them. */
interface SimControllers {
    /** The names of all controllers, in a fixed order. */
    List<String> nodeNames();

    /** The response of a controller to a heartbeat that has arrived there. */
    HeartbeatResponse handleHeartbeat(String node, Heartbeat heartbeat);

    /** Whether every task of this job fails on every machine. */
    boolean failsEverywhere(String job);
}
