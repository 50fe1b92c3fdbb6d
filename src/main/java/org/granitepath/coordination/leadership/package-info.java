/**
 * Leader election: the leader's lease and fencing token, the status that peers report, and the renewal of leases in a
 * zone that is cut off. {@link org.granitepath.coordination.leadership.Leadership} owns the phase; no other class may
 * change it.
 */
package org.granitepath.coordination.leadership;
