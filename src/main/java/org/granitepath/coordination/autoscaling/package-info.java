/**
 * How many machines there are: what to launch for the work that waits, and which machines to terminate. Owns the
 * machines that are launched and not yet heard.
 */
package org.granitepath.coordination.autoscaling;
