/**
 * HTTP servers, HTTP clients and timers, all on one XNIO I/O thread, the {@code EventLoop}.
 *
 * <p>Inbound: {@code HttpServers} starts {@code ApiServer} and {@code PeerServer}, each behind an {@code HttpListener}.
 * Outbound: the client of each other process turns calls of the decision code into an {@code OutgoingRequest}, and
 * {@code HttpCalls} returns an {@code HttpResponse}.
 */
package org.granitepath.transport;
