/**
 * Who leads: the leader's lease and fencing token, what peers tell of themselves, and the lease keeper of a zone that
 * is cut off. Owns the phase of leadership; nothing else may change it.
 */
package org.granitepath.coordination.leadership;
