package org.granitepath.coordination.term;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.MachineTypesRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.RecordSize;
import org.granitepath.storage.WriteQueue;

/** Applies the cloud's machine types to the term's fleet, and writes them to the store. */
final class TermMachineTypes {
    private static final long RECORD_DELAY_MICROS = 2_000_000;

    private final Config config;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final Fleet fleet;
    private final SchedulingLoop loop;

    /** Creates the component without any types. */
    TermMachineTypes(Config config, RecordReplica replica, WriteQueue writeQueue, Fleet fleet, SchedulingLoop loop) {
        this.config = config;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.fleet = fleet;
        this.loop = loop;
    }

    /** Replaces the fleet's machine types and requests a scheduling cycle. */
    void onTypesChanged(List<MachineType> types) {
        fleet.updateTypes(types);
        loop.requestCycle();
    }

    /**
     * Writes the machine types to the store, for controllers that start while the cloud is unreachable. Does nothing if
     * types are recorded already, or if these exceed the size limit of a value in the store.
     */
    void recordTypes(List<MachineType> types) {
        MachineTypesRecord typesRecord = new MachineTypesRecord(types);
        if (replica.has(Keys.MACHINE_TYPES)
                || RecordSize.of(typesRecord) > config.limits().store().valueBytes()) {
            return; // a partial record would make controllers reject jobs that can run
        }
        writeQueue.enqueue(
                Keys.MACHINE_TYPES,
                WriteQueue.Urgency.PROGRESS_ONLY,
                RECORD_DELAY_MICROS,
                () -> replica.has(Keys.MACHINE_TYPES)
                        ? List.of()
                        : List.of(Change.write(Keys.MACHINE_TYPES, typesRecord)),
                storeRevision -> {});
    }
}
