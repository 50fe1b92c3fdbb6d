package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes the record of machine types as a JSON object. */
final class MachineTypesRecordCodec {
    private static final String TYPES = "types";

    private MachineTypesRecordCodec() {}

    static Map<String, Object> encode(MachineTypesRecord machineTypes) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(
                TYPES,
                machineTypes.types().stream().map(MachineTypeCodec::encode).toList());
        return fields;
    }

    /** @throws MalformedFieldException if a type is not an object */
    static MachineTypesRecord decode(Map<String, Object> fields) {
        List<MachineType> types = new ArrayList<>();
        for (Object type : Fields.listOf(fields, TYPES)) {
            types.add(MachineTypeCodec.decode(Fields.requiredObject(type, TYPES)));
        }
        return new MachineTypesRecord(types);
    }
}
