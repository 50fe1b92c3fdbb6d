/**
 * The interfaces through which the decision logic reaches the cloud, the workers and the peers, and the messages that
 * it exchanges with them and with users. This package contains only interfaces and immutable values. The
 * implementations are in {@code transport}, the wire formats in {@code protocol}.
 */
package org.granitepath.coordination.ports;
