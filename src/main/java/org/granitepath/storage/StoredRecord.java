package org.granitepath.storage;

import java.util.Map;

/** A record in the store. Immutable: what was read or written stays as it was. */
public sealed interface StoredRecord
        permits FencingTokenRecord,
                FinalRecord,
                InventoryRecord,
                JobRecord,
                LeaderRecord,
                MachineTypesRecord,
                ProgressRecord,
                UnknownRecord {

    /** The record as a JSON object, by the names that stored records use. */
    Map<String, Object> toMap();

    /**
     * Reads a record.
     *
     * @param key its name, which tells its kind; kinds that a newer version may have are {@link UnknownRecord}s
     * @throws MalformedRecordException when a field that has to be there is missing
     */
    static StoredRecord decode(String key, Map<String, Object> fields) throws MalformedRecordException {
        try {
            if (key.startsWith(Keys.JOB)) {
                return JobRecord.fromMap(fields);
            } else if (key.startsWith(Keys.PROGRESS)) {
                return ProgressRecord.fromMap(fields);
            } else if (key.startsWith(Keys.FINAL)) {
                return FinalRecord.fromMap(fields);
            } else if (key.startsWith(Keys.INVENTORY)) {
                return InventoryRecord.fromMap(fields);
            }
            return switch (key) {
                case Keys.LEADER -> LeaderRecord.fromMap(fields);
                case Keys.FENCING_TOKEN -> FencingTokenRecord.fromMap(fields);
                case Keys.TYPES -> MachineTypesRecord.fromMap(fields);
                default -> new UnknownRecord(fields);
            };
        } catch (ClassCastException | NullPointerException | IndexOutOfBoundsException e) {
            throw new MalformedRecordException(key, e);
        }
    }
}
