package org.granitepath.coordination.fleet;

/**
 * How a message of a worker arrived. A heartbeat can be responded to, and proves that the worker can connect to the
 * controller.
 */
public enum MessageOrigin {
    /** The worker sent the message by itself. */
    HEARTBEAT,
    /** The message was contained in the response to a direct call. */
    CALL_RESPONSE
}
