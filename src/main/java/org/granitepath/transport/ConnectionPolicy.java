package org.granitepath.transport;

/** Whether the client keeps a connection open after a call. */
public enum ConnectionPolicy {
    /** The client keeps the connection open for later calls to the same address. */
    KEEP_ALIVE,
    /** The client closes the connection, because the next call to the address is not expected soon. */
    CLOSE
}
