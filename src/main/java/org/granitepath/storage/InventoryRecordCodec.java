package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.InventoryRecord.MachineRow;
import org.jspecify.annotations.Nullable;

/**
 * Encodes inventory records as JSON objects. A machine is a row without field names, because the store holds thousands
 * of machines. The columns are id, address, type, zone, 1 for a spot machine or 0 for any other, fencing token.
 */
final class InventoryRecordCodec {
    private static final String HOSTS = "hosts";

    private static final int ID = 0;
    private static final int ADDRESS = 1;
    private static final int TYPE = 2;
    private static final int ZONE = 3;
    private static final int SPOT = 4;
    private static final int FENCING_TOKEN = 5;
    private static final int COLUMNS = 6;

    private static final int CODE_FULL_PRICE = 0;
    private static final int CODE_SPOT = 1;

    private InventoryRecordCodec() {}

    static Map<String, Object> encode(InventoryRecord inventory) {
        List<Object> rows = new ArrayList<>();
        for (MachineRow machine : inventory.machines()) {
            rows.add(encodeRow(machine));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(HOSTS, rows);
        return fields;
    }

    static List<Object> encodeRow(MachineRow machine) {
        return List.of(
                machine.id(),
                machine.address(),
                machine.type(),
                machine.zone(),
                machine.spot() ? CODE_SPOT : CODE_FULL_PRICE,
                machine.fencingToken());
    }

    /** @throws MalformedFieldException if a row is not a list, is too short or has a value of another type */
    static InventoryRecord decode(Map<String, Object> fields) {
        List<MachineRow> machines = new ArrayList<>();
        for (Object row : Fields.requiredList(fields, HOSTS)) {
            machines.add(decodeRow(Fields.requiredList(row, HOSTS)));
        }
        return new InventoryRecord(machines);
    }

    private static MachineRow decodeRow(List<?> row) {
        if (row.size() < COLUMNS) {
            throw new MalformedFieldException(HOSTS, "a list of rows of " + COLUMNS + " values", row);
        }
        return new MachineRow(
                textOf(row.get(ID)),
                textOf(row.get(ADDRESS)),
                textOf(row.get(TYPE)),
                textOf(row.get(ZONE)),
                Fields.requiredNumber(row.get(SPOT), HOSTS).intValue() == CODE_SPOT,
                Fields.requiredNumber(row.get(FENCING_TOKEN), HOSTS).longValue());
    }

    /**
     * Returns a column as text. A null, which no version writes, is accepted as an empty text; a value of any other
     * type is malformed.
     */
    private static String textOf(@Nullable Object value) {
        if (value == null) {
            return "";
        }
        if (value instanceof String text) {
            return text;
        }
        throw new MalformedFieldException(HOSTS, "a list of rows with texts", value);
    }
}
