package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;

/** What it means for a machine that a higher fencing token is on record for it. */
public final class TokenRaiseHandler {
    private final Config config;
    private final Fleet fleet;
    private final Timers timers;

    /** Changes machines of this fleet. */
    public TokenRaiseHandler(Config config, Fleet fleet, Timers timers) {
        this.config = config;
        this.fleet = fleet;
        this.timers = timers;
    }

    /** The machine's new fencing token is on record: it must show it before it is given work again. */
    public void onTokenRaised(Machine machine) {
        long nowMicros = timers.nowMicros();
        if (fleet.isUnresponsive(machine, nowMicros)) {
            machine.contact().fence();
            extendLeaseInPeerZone(machine, nowMicros);
        }
        machine.markUnconfirmed(nowMicros, "fencing token raised to " + machine.fencingToken());
    }

    /** A controller cut off together with the machine may not know yet, and go on under the former token. */
    private void extendLeaseInPeerZone(Machine machine, long nowMicros) {
        if (config.topology().hasPeerIn(machine.zone()) && machine.contact().leaseExpiryMicros() > 0) {
            long longestMicros = nowMicros
                    + config.workers().maxDisconnectedMicros()
                    + config.workers().maxLeaseMicros();
            machine.contact().setLeaseExpiry(longestMicros, false);
        }
    }
}
