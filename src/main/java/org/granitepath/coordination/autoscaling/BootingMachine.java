package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.MachineType;

/**
 * A machine that was launched and has not sent a heartbeat yet.
 *
 * @param id the name that the cloud gave the machine
 * @param spot whether the machine is a spot instance
 * @param launchedMicros the time of the launch on the local monotonic clock; far in the past if the boot has failed
 */
record BootingMachine(String id, MachineType type, String zone, boolean spot, long launchedMicros) {
    /**
     * After this multiple of the boot time, a machine may be very late or may never join. The plan no longer waits for
     * it.
     */
    private static final double OVERDUE_BOOT_FACTOR = 1.6;

    /** After this multiple of the boot time and a grace period, a machine counts as failed. */
    private static final int FAILED_BOOT_FACTOR = 3;

    private static final long FAILED_BOOT_GRACE_MICROS = 30_000_000;

    /** Returns whether the machine is so late that the plan no longer counts on it. */
    boolean isOverdue(long nowMicros) {
        return nowMicros - launchedMicros > OVERDUE_BOOT_FACTOR * type.bootMicros();
    }

    /** Returns whether the machine is so late that it is to be terminated. */
    boolean hasFailedToBoot(long nowMicros) {
        return nowMicros - launchedMicros > FAILED_BOOT_FACTOR * type.bootMicros() + FAILED_BOOT_GRACE_MICROS;
    }
}
