/**
 * The life cycle of machines during one term of leadership: the machine inventory in the store, the processing of
 * heartbeats, the commands sent to workers, and the detection of failed machines. Only this package changes the phase
 * or the lease of a machine, except for the autoscaler, which asks the cloud to terminate machines.
 */
package org.granitepath.coordination.fleet;
