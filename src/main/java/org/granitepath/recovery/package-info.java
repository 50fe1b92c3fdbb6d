/**
 * Recovery after a change of leader: what the records and the heartbeats together prove about each task, which machines
 * are still awaited, and in which order work is resumed. This package contains decision logic only: it does no I/O and
 * has no threads and no clock of its own.
 */
package org.granitepath.recovery;
