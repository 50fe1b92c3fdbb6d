/** Servers, clients and timers on one XNIO I/O thread, which is the event loop. */
package org.granitepath.transport;
