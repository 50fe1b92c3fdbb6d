package org.granitepath.storage;

import org.jspecify.annotations.Nullable;

/**
 * The shared counter of fencing tokens. All machines of the inventory belong to {@code leader} under {@code
 * fencingToken}, except for those whose row names a higher one. The record outlives the leader's lease, so that every
 * machine always belongs to exactly one leader.
 *
 * @param leader the controller that the machines belong to, or null if the record names none
 * @param fencingToken the fencing token of that leader's term
 * @param lastIssuedToken the highest token issued so far
 */
public record FencingTokenRecord(@Nullable String leader, long fencingToken, long lastIssuedToken)
        implements StoredRecord {}
