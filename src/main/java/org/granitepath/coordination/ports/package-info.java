/**
 * The edges of the decision code: the cloud, workers, peers and users as it sees them, and the messages exchanged with
 * them. Interfaces and immutable values only; implementations are in {@code transport},
 * wire formats in {@code protocol}.
 */
package org.granitepath.coordination.ports;
