package org.granitepath.storage;

/** A record in the store. Immutable: what was read or written stays as it was. */
public sealed interface StoredRecord
        permits FencingTokenRecord,
                FinalRecord,
                InventoryRecord,
                JobRecord,
                LeaderRecord,
                MachineTypesRecord,
                ProgressRecord,
                UnknownRecord {}
