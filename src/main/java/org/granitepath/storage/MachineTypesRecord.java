package org.granitepath.storage;

import java.util.List;

/** The machine types that the cloud launches, for controllers that start while it is away. */
public record MachineTypesRecord(List<MachineType> types) implements StoredRecord {
    /** Keeps a copy of the list. */
    public MachineTypesRecord {
        types = List.copyOf(types);
    }
}
