package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.MachineType;

/**
 * A kind of machine that the cloud can launch, and the job for which it would be.
 *
 * @param spot whether it is a spot instance
 */
record Offer(MachineType type, String zone, boolean spot, ActiveJob job) {
    /** The same for offers of the same kind of machine, whatever the job. */
    String key() {
        return type.name() + "/" + zone + "/" + spot;
    }
}
