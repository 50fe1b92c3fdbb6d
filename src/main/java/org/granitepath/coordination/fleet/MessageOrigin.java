package org.granitepath.coordination.fleet;

/** How a message of a worker came: a heartbeat can be answered, and proves that the worker reaches us by itself. */
public enum MessageOrigin {
    /** The worker sent it by itself. */
    HEARTBEAT,
    /** It came in the response to a direct call. */
    CALL_RESPONSE
}
