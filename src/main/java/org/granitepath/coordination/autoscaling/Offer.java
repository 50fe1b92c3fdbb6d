package org.granitepath.coordination.autoscaling;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.MachineType;

/**
 * A kind of machine that the cloud can launch, and the job for which the machine would be launched.
 *
 * @param spot whether the machine is a spot instance rather than an on-demand machine
 */
record Offer(MachineType type, String zone, boolean spot, ActiveJob job) {
    /** Returns a key that is equal for all offers of the same kind of machine, regardless of the job. */
    String key() {
        return type.name() + "/" + zone + "/" + spot;
    }
}
