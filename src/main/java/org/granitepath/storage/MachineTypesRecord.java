package org.granitepath.storage;

import java.util.List;

/** The machine types that the cloud launches, kept for controllers that start while the cloud is unavailable. */
public record MachineTypesRecord(List<MachineType> types) implements StoredRecord {
    /** Copies the list. */
    public MachineTypesRecord {
        types = List.copyOf(types);
    }
}
