package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Page;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of a replica: its phase, the store's revision up to which it knows the records, and the time of its last
 * contact with the store.
 */
final class ReplicaPosition {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaPosition.class);

    /** Whether the records are still being loaded, or have all been read so that only their changes are followed. */
    private enum Phase {
        LOADING,
        FOLLOWING
    }

    private final ReplicaRecords records;
    private Phase phase = Phase.LOADING;
    private long storeRevision;
    private long lastContactMicros;

    ReplicaPosition(ReplicaRecords records, long nowMicros) {
        this.records = records;
        this.lastContactMicros = nowMicros;
    }

    /** Returns whether all records have been read and their changes are followed. */
    boolean isFollowing() {
        return phase == Phase.FOLLOWING;
    }

    /** Returns the store's revision up to which the records are known. */
    long storeRevision() {
        return storeRevision;
    }

    /** Returns when the last request was sent whose answer brought the replica up to date, in steady time. */
    long lastContactMicros() {
        return lastContactMicros;
    }

    /** Marks the records as being loaded. */
    void startLoading() {
        transition(Phase.LOADING);
    }

    /**
     * Marks all records as read, as of this revision.
     *
     * @param sentMicros when the last request of the load was sent
     */
    void finishLoading(long revision, long sentMicros) {
        storeRevision = revision;
        lastContactMicros = Math.max(lastContactMicros, sentMicros);
        transition(Phase.FOLLOWING);
    }

    /**
     * Applies the changes of a page.
     *
     * @param sentMicros when the request for the page was sent
     */
    void advance(Page page, long sentMicros) {
        for (Item item : page.items()) {
            if (item.revision() > storeRevision) {
                records.apply(item);
            }
        }
        storeRevision = Math.max(storeRevision, page.storeRevision());
        lastContactMicros = Math.max(lastContactMicros, sentMicros);
    }

    private void transition(Phase next) {
        if (phase != next) {
            LOG.debug("replica phase changed: {} -> {}", phase, next);
            phase = next;
        }
    }
}
