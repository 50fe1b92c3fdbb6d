package org.granitepath.storage;

import java.util.List;
import java.util.Map;

/** The machine types that the cloud launches, for controllers that start while it is away. */
public record MachineTypesRecord(List<MachineType> types) implements StoredRecord {
    /** Keeps a copy of the list. */
    public MachineTypesRecord {
        types = List.copyOf(types);
    }

    @Override
    public Map<String, Object> toMap() {
        return Map.of("types", types.stream().map(MachineType::toMap).toList());
    }

    @SuppressWarnings("unchecked")
    static MachineTypesRecord fromMap(Map<String, Object> fields) {
        return new MachineTypesRecord(Fields.listOf(fields, "types").stream()
                .map(type -> MachineType.fromMap((Map<String, Object>) type))
                .toList());
    }
}
