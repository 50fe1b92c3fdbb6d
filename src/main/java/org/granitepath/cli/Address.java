package org.granitepath.cli;

/** An address to listen on or to call. */
record Address(String host, int port) {}
