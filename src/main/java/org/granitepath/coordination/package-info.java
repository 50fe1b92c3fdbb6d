/**
 * The decisions of a controller: events and a clock in, effects out; no I/O, no threads. {@link
 * org.granitepath.coordination.Controller} wires the packages below together; all calls come on one event loop.
 */
package org.granitepath.coordination;
