package org.granitepath.storage;

import org.jspecify.annotations.Nullable;

/**
 * The shared counter of fencing tokens: all machines of the inventory belong to {@code leader} under the token
 * {@code term}, but for those whose row names a higher one. It outlives the leader's lease, so no machine is ever
 * without exactly one leader.
 *
 * @param lastIssuedToken the highest token drawn so far
 */
public record FencingTokenRecord(@Nullable String leader, long term, long lastIssuedToken) implements StoredRecord {}
