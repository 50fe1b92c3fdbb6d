package org.granitepath.recovery;

import org.granitepath.storage.JobSpec;

/**
 * The properties of a machine that decide which jobs may run on it. A task never starts on a machine that its job does
 * not allow.
 *
 * @param type the name of the machine type
 * @param spot whether the machine is a spot instance
 */
public record MachineProfile(String type, String zone, boolean spot) {

    /** Returns whether a task of this job can be on a machine with this profile. */
    public boolean canRun(JobSpec spec) {
        return spec.isTypeAllowed(type) && spec.isZoneAllowed(zone) && (spec.spotAllowed() || !spot);
    }
}
