package org.granitepath.transport;

/**
 * A network address to listen on or to connect to.
 *
 * @param host the host name or IP address
 * @param port the TCP port
 */
public record Address(String host, int port) {}
