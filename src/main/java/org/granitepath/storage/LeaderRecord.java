package org.granitepath.storage;

/**
 * The controller that leads. The record is attached to its lease, so it goes when the lease ends.
 *
 * @param incarnation tells its process from earlier ones of the same name
 * @param fencingToken the token of its term
 */
public record LeaderRecord(String node, String incarnation, long fencingToken) implements StoredRecord {}
