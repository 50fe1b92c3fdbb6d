package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Page;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How far a replica has come: its phase, the revision up to which it knows the records, and when it was last in
 * contact with the store.
 */
final class ReplicaPosition {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaPosition.class);

    /** Whether all records have been read, so that changes alone are followed. */
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

    boolean following() {
        return phase == Phase.FOLLOWING;
    }

    /** The revision up to which the records are known. */
    long storeRevision() {
        return storeRevision;
    }

    /** When the last request was sent whose answer brought the replica up to date. */
    long lastContactMicros() {
        return lastContactMicros;
    }

    void loading() {
        transition(Phase.LOADING);
    }

    /** All records have been read, as of this revision. */
    void loaded(long revision, long sentMicros) {
        storeRevision = revision;
        lastContactMicros = Math.max(lastContactMicros, sentMicros);
        transition(Phase.FOLLOWING);
    }

    /** Takes in the changes that a request sent at this time brought. */
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
            LOG.debug("replica {} -> {}", phase, next);
            phase = next;
        }
    }
}
