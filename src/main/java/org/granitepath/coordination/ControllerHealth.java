package org.granitepath.coordination;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.storage.RecordReplica;

/** Whether users may be sent to this controller. */
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
     * Whether it knows enough to answer, and no other could do better: in an outage all stay, while a controller that
     * alone has lost the store sends users to the others.
     */
    boolean healthy() {
        if (!replica.loaded() || machineTypes.isEmpty()) {
            return false;
        }
        return storeContact.isRecent() || !peers.isAnyPeerConnected(Config.CONTACT_TIMEOUT_MICROS);
    }
}
