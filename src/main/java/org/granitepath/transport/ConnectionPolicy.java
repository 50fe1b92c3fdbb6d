package org.granitepath.transport;

/** What becomes of the connection after a call. */
public enum ConnectionPolicy {
    /** It is kept for later calls to the same address. */
    KEEP_ALIVE,
    /** It is closed: the next call to this address is far off. */
    CLOSE
}
