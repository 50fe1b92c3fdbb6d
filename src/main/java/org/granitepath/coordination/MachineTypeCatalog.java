package org.granitepath.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Timers;

/**
 * The machine types that the cloud launches, by name. The cloud is asked; until it has answered once the types on
 * record stand in, so that a controller that starts while the cloud is down can judge submissions.
 */
final class MachineTypeCatalog {
    private static final long REFRESH_MICROS = 60_000_000;
    private static final long RETRY_MICROS = 2_000_000;

    /** Told of new types. */
    interface Listener {
        /** The types were learned from the cloud. */
        void fetched(List<MachineType> types);

        /** The types were learned from the record that a leader has left. */
        void readFromRecord(List<MachineType> types);
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

    /** Whether no types are known yet. */
    boolean isEmpty() {
        return types.isEmpty();
    }

    /** All types, in the order of the cloud's list; a view. */
    Collection<MachineType> all() {
        return types.values();
    }

    /** Asks the cloud if no types are known; what a controller that does not lead needs. */
    void fetchIfUnknown() {
        if (types.isEmpty() && !fetching) {
            fetch();
        }
    }

    /** Asks the cloud if no types are known or the last answer has aged; what a leader needs. */
    void refreshIfDue(long nowMicros) {
        if ((types.isEmpty() || nowMicros >= refreshDueMicros) && !fetching) {
            fetch();
        }
    }

    /** Takes the types on record, unless some are known: those are as new or newer. */
    void recordRead(List<MachineType> recorded) {
        if (types.isEmpty()) {
            replaceAll(recorded);
            listener.readFromRecord(recorded);
        }
    }

    private void fetch() {
        fetching = true;
        cloud.fetchMachineTypes(list -> {
            fetching = false;
            refreshDueMicros = timers.nowMicros() + (list == null ? RETRY_MICROS : REFRESH_MICROS);
            if (list != null) {
                replaceAll(list);
                listener.fetched(list);
            }
        });
    }

    private void replaceAll(List<MachineType> next) {
        types.clear();
        next.forEach(type -> types.put(type.name(), type));
    }
}
