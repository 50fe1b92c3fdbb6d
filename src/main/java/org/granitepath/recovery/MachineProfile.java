package org.granitepath.recovery;

import org.granitepath.storage.JobSpec;

/** What decides which jobs a machine may hold: tasks never start on machines that their job does not allow. */
public record MachineProfile(String type, String zone, boolean spot) {

    /** Whether a task of this job can be on such a machine. */
    public boolean canRun(JobSpec spec) {
        return spec.allowsType(type) && spec.allowsZone(zone) && (spec.spot() || !spot);
    }
}
