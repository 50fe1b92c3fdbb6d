/**
 * Autoscaling: decides which machines to launch for waiting work and which machines to terminate. Keeps track of the
 * machines that were launched and have not sent a heartbeat yet.
 */
package org.granitepath.coordination.autoscaling;
