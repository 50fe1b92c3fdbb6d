package org.granitepath.storage;

/** A record in the store. All records are immutable. */
public sealed interface StoredRecord
        permits FencingTokenRecord,
                FinalRecord,
                InventoryRecord,
                JobRecord,
                LeaderRecord,
                MachineTypesRecord,
                ProgressRecord,
                UnknownRecord {}
