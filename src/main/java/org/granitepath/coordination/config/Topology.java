package org.granitepath.coordination.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Where machines and controllers stand.
 *
 * @param zones the zones in which machines can be
 * @param peerZones the other controllers, each with its zone
 */
public record Topology(List<String> zones, Map<String, String> peerZones) {
    /** The names of the other controllers. */
    public Collection<String> peers() {
        return peerZones.keySet();
    }

    /**
     * Whether another controller stands in this zone: cut off with it, that one may keep its machines' leases alive.
     */
    public boolean hasPeerIn(String zone) {
        return peerZones.containsValue(zone);
    }
}
