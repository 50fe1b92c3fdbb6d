package org.granitepath.storage;

/**
 * The controller that leads. The record is attached to the leader's lease, so the store removes it when the lease ends.
 *
 * @param node the name of the controller
 * @param incarnation distinguishes the controller's process from earlier processes of the same name
 * @param fencingToken the fencing token of the leader's term
 */
public record LeaderRecord(String node, String incarnation, long fencingToken) implements StoredRecord {}
