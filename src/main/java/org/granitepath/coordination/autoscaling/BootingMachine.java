package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.MachineType;

/** A machine that was launched and has sent no heartbeat yet. */
record BootingMachine(String id, MachineType type, String zone, boolean spot, long launchedMicros) {
    /** Beyond this many boot times a machine may be late by much, or never come: it is not waited for. */
    private static final double LATE_BOOT_TIMES = 1.6;

    /** Beyond this many boot times and a grace period a machine is taken to have failed. */
    private static final int FAILED_BOOT_TIMES = 3;

    private static final long FAILED_BOOT_GRACE_MICROS = 30_000_000;

    /** Whether it is so late that the plan no longer counts on it. */
    boolean overdue(long nowMicros) {
        return nowMicros - launchedMicros > LATE_BOOT_TIMES * type.bootMicros();
    }

    /** Whether it is so late that it is to be terminated. */
    boolean failedToBoot(long nowMicros) {
        return nowMicros - launchedMicros > FAILED_BOOT_TIMES * type.bootMicros() + FAILED_BOOT_GRACE_MICROS;
    }
}
