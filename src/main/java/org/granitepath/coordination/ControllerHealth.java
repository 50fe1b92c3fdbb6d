package org.granitepath.coordination;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.storage.RecordReplica;

/** Decides whether user requests may be sent to this controller. */
final class ControllerHealth {
    private final RecordReplica replica;
    private final MachineTypeCatalog machineTypes;
    private final StoreContact storeContact;
    private final Peers peers;

    ControllerHealth(RecordReplica replica, MachineTypeCatalog machineTypes, StoreContact storeContact, Peers peers) {
        this.replica = replica;
        this.machineTypes = machineTypes;
        this.storeContact = storeContact;
        this.peers = peers;
    }

    /**
     * Returns whether this controller has the data to answer users and no peer is better placed to do so. During an
     * outage of the store all controllers stay healthy; a controller that alone has lost contact with the store reports
     * itself unhealthy, so that users are sent to the others.
     */
    boolean isHealthy() {
        if (!replica.isLoaded() || machineTypes.isEmpty()) {
            return false;
        }
        return storeContact.isRecent() || !peers.isAnyPeerConnected(Config.CONTACT_TIMEOUT_MICROS);
    }
}
