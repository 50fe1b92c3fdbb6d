package org.granitepath.transport;

/** An address to listen on or to call. */
public record Address(String host, int port) {}
