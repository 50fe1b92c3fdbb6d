/**
 * The decision logic of a controller. It receives events and the time, and acts through the interfaces in
 * {@code ports}; it does no I/O and uses no threads of its own. {@link org.granitepath.coordination.Controller} wires
 * the packages below it together. All methods are called on one event loop.
 */
package org.granitepath.coordination;
