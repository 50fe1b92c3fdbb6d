package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.InventoryRecord.MachineRow;
import org.jspecify.annotations.Nullable;

/**
 * Inventory records as JSON objects. A machine is a row without field names, as thousands stand in the store: id,
 * address, type, zone, 1 for a spot machine or else 0, fencing token.
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
        for (MachineRow host : inventory.machines()) {
            rows.add(encodeRow(host));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(HOSTS, rows);
        return fields;
    }

    static List<Object> encodeRow(MachineRow host) {
        return List.of(
                host.id(),
                host.address(),
                host.type(),
                host.zone(),
                host.spot() ? CODE_SPOT : CODE_FULL_PRICE,
                host.fencingToken());
    }

    /** @throws MalformedFieldException when a row is none, is too short or has a value of another type */
    static InventoryRecord decode(Map<String, Object> fields) {
        List<MachineRow> hosts = new ArrayList<>();
        for (Object row : Fields.requiredList(fields, HOSTS)) {
            hosts.add(decodeRow(Fields.requiredList(row, HOSTS)));
        }
        return new InventoryRecord(hosts);
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

    /** A null, which no version writes, is let pass as an empty text; anything else must be a text. */
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
