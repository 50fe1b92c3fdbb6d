/**
 * Who leads: the leader's lease and fencing token, what peers tell of themselves, and the lease keeper of a zone that
 * is cut off. {@link org.granitepath.coordination.leadership.Leadership} owns the phase; nothing else may change it.
 */
package org.granitepath.coordination.leadership;
