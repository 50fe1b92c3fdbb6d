package org.granitepath.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Timers;

/**
 * The machine types that the cloud offers, by name. They are fetched from the cloud. Until the first fetch succeeds,
 * the types recorded in the store are used instead, so that a controller that starts during an outage of the cloud can
 * validate submissions.
 */
final class MachineTypeCatalog {
    private static final long REFRESH_INTERVAL_MICROS = 60_000_000;
    private static final long RETRY_DELAY_MICROS = 2_000_000;

    /** Receives new machine types. */
    interface Listener {
        /** The types were fetched from the cloud. */
        void onFetched(List<MachineType> types);

        /** The types were read from the record that a leader wrote to the store. */
        void onReadFromRecord(List<MachineType> types);
    }

    private final CloudPort cloud;
    private final Timers timers;
    private final Listener listener;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private boolean fetching;
    private long refreshDueMicros;

    MachineTypeCatalog(CloudPort cloud, Timers timers, Listener listener) {
        this.cloud = cloud;
        this.timers = timers;
        this.listener = listener;
    }

    /** Returns whether no types are known yet. */
    boolean isEmpty() {
        return types.isEmpty();
    }

    /** Returns a live view of all types, in the order in which the cloud lists them. */
    Collection<MachineType> all() {
        return types.values();
    }

    /**
     * Fetches the types if none are known and no fetch is in progress. Called while this controller is not the leader.
     */
    void fetchIfUnknown() {
        if (types.isEmpty() && !fetching) {
            fetch();
        }
    }

    /**
     * Fetches the types if none are known or a refresh is due, and no fetch is in progress. Called while this
     * controller is the leader.
     */
    void refreshIfDue(long nowMicros) {
        if ((types.isEmpty() || nowMicros >= refreshDueMicros) && !fetching) {
            fetch();
        }
    }

    /** Uses the recorded types if none are known yet. Types that are already known are at least as recent. */
    void onRecordRead(List<MachineType> recorded) {
        if (types.isEmpty()) {
            replaceAll(recorded);
            listener.onReadFromRecord(recorded);
        }
    }

    private void fetch() {
        fetching = true;
        cloud.fetchMachineTypes(fetched -> {
            fetching = false;
            refreshDueMicros = timers.nowMicros() + (fetched == null ? RETRY_DELAY_MICROS : REFRESH_INTERVAL_MICROS);
            if (fetched != null) {
                replaceAll(fetched);
                listener.onFetched(fetched);
            }
        });
    }

    private void replaceAll(List<MachineType> newTypes) {
        types.clear();
        newTypes.forEach(type -> types.put(type.name(), type));
    }
}
