package org.granitepath.coordination.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Zones of the machines and of the controllers.
 *
 * @param zones the zones in which machines can run
 * @param peerZones the zone of each other controller, by the controller's name
 */
public record Topology(List<String> zones, Map<String, String> peerZones) {
    /** Returns the names of the other controllers. */
    public Collection<String> peers() {
        return peerZones.keySet();
    }

    /**
     * Returns whether another controller runs in this zone. If a network partition isolates the zone, that controller
     * may keep the leases of the machines in the zone alive.
     */
    public boolean hasPeerIn(String zone) {
        return peerZones.containsValue(zone);
    }
}
