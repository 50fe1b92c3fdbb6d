/**
 * The life cycle of machines during one term of leadership: the machine inventory in the store, the processing of
 * heartbeats, the commands sent to workers, and the detection of failed machines. Only this package changes the phase
 * or the lease of a machine, except that the autoscaler marks the machines whose termination it requests.
 */
package org.granitepath.coordination.fleet;
