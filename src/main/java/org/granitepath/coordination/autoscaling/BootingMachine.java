package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.MachineType;

/** A machine that was launched and has sent no heartbeat yet. */
record BootingMachine(String id, MachineType type, String zone, boolean spot, long launchedMicros) {
    /** Beyond this many boot times a machine may be late by much, or never come: it is not waited for. */
    private static final double LATE_BOOT = 1.6;

    boolean overdue(long now) {
        return now - launchedMicros > LATE_BOOT * type.bootMicros();
    }
}
