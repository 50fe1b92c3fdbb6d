package org.granitepath.coordination.fleet;

/**
 * How a message of a worker arrived. Unlike a response to a call, a heartbeat can be answered with commands, and it
 * proves that the worker can connect to the controller.
 */
public enum MessageOrigin {
    /** The worker sent the message by itself. */
    HEARTBEAT,
    /** The message was contained in the response to a direct call. */
    CALL_RESPONSE
}
