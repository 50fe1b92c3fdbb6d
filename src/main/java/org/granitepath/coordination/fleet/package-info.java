/**
 * The life of machines during one term of leadership: their inventory on record, what their heartbeats prove, the
 * commands sent to them, and when an unresponsive one counts as failed. Nothing else changes a machine's phase or
 * lease, but for the autoscaler, which asks the cloud to take machines back.
 */
package org.granitepath.coordination.fleet;
