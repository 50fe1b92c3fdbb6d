/**
 * How many machines there are: what to launch for the work that waits, and which machines to terminate. Owns the
 * machines that were launched and have sent no heartbeat yet.
 */
package org.granitepath.coordination.autoscaling;
