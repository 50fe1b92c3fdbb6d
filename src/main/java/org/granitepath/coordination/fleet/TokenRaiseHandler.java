package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;

/** Updates a machine after a higher fencing token for it has been stored. */
public final class TokenRaiseHandler {
    private final Config config;
    private final Fleet fleet;
    private final Timers timers;

    /** Creates a handler for the machines of this fleet. */
    public TokenRaiseHandler(Config config, Fleet fleet, Timers timers) {
        this.config = config;
        this.fleet = fleet;
        this.timers = timers;
    }

    /**
     * Called when the store holds a new fencing token for the machine. The worker has to acknowledge the token before
     * the machine gets tasks again; an unresponsive machine is fenced.
     */
    public void onTokenRaised(Machine machine) {
        long nowMicros = timers.nowMicros();
        machine.contact().clearRestart();
        if (fleet.isUnresponsive(machine, nowMicros)) {
            machine.contact().fence();
            extendLeaseInPeerZone(machine, nowMicros);
        }
        machine.markUnconfirmed(nowMicros, "fencing token raised to " + machine.fencingToken());
    }

    /**
     * Extends the lease of a machine whose zone has a peer controller: when zone and peer are partitioned together, the
     * peer may not know the new token yet and may keep renewing the lease under the previous token.
     */
    private void extendLeaseInPeerZone(Machine machine, long nowMicros) {
        if (config.topology().hasPeerIn(machine.zone()) && machine.contact().leaseExpiryMicros() > 0) {
            long latestExpiryMicros = nowMicros
                    + config.workers().maxDisconnectedMicros()
                    + config.workers().maxLeaseMicros();
            machine.contact().setLeaseExpiry(latestExpiryMicros, false);
        }
    }
}
