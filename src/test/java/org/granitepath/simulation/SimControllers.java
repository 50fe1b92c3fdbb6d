package org.granitepath.simulation;

import java.util.List;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;

/** How the controllers answer a heartbeat that has reached one of them. */
interface SimControllers {
    List<String> nodeNames();

    HeartbeatResponse handleHeartbeat(String node, Heartbeat heartbeat);

    /** Whether every task of this job fails, wherever it runs. */
    boolean failsEverywhere(String job);
}
