/**
 * Servers, clients and timers on one XNIO I/O thread, which is the {@code EventLoop}.
 *
 * <p>In: {@code HttpServers} starts {@code ApiServer} and {@code PeerServer}, each behind an {@code HttpListener}.
 * Out: a client of each other program turns calls of the decision code into an {@code OutgoingRequest}, which
 * {@code HttpCalls} answers with an {@code HttpResponse}.
 */
package org.granitepath.transport;
