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

/** The cloud's machine types as the leader uses them and keeps them on record. */
final class TermMachineTypes {
    private static final long RECORD_DELAY_MICROS = 2_000_000;

    private final Config config;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final Fleet fleet;
    private final SchedulingLoop loop;

    /** No type is known before the cloud has told. */
    TermMachineTypes(Config config, RecordReplica replica, WriteQueue writeQueue, Fleet fleet, SchedulingLoop loop) {
        this.config = config;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.fleet = fleet;
        this.loop = loop;
    }

    /** The cloud has told of its machine types. */
    void changed(List<MachineType> types) {
        fleet.updateTypes(types);
        loop.requestCycle();
    }

    /** Keeps the machine types on record, for controllers that start while the cloud is away. */
    void putOnRecord(List<MachineType> types) {
        MachineTypesRecord typesRecord = new MachineTypesRecord(types);
        if (replica.has(Keys.TYPES)
                || RecordSize.of(typesRecord) > config.limits().store().valueBytes()) {
            return; // a part of the types would let controllers refuse jobs that can run
        }
        writeQueue.enqueue(
                Keys.TYPES,
                WriteQueue.Urgency.PROGRESS_ONLY,
                RECORD_DELAY_MICROS,
                () -> replica.has(Keys.TYPES) ? List.of() : List.of(Change.write(Keys.TYPES, typesRecord)),
                storeRevision -> {});
    }
}
