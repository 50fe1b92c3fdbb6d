package org.granitepath.storage;

import java.util.Map;

/**
 * Encodes stored records as JSON objects. Each kind of record has its own codec, and only that codec knows the names of
 * the fields. The names and their order are fixed, because the store contains records written by other versions, and
 * other versions read the records written by this one.
 */
public final class StoredRecordCodec {
    private StoredRecordCodec() {}

    /** Returns the record as a JSON object. */
    public static Map<String, Object> encode(StoredRecord record) {
        // One branch for each permitted type; a test covers all of them.
        if (record instanceof ProgressRecord progress) {
            return ProgressRecordCodec.encode(progress);
        } else if (record instanceof JobRecord job) {
            return JobRecordCodec.encode(job);
        } else if (record instanceof FinalRecord finalRecord) {
            return FinalRecordCodec.encode(finalRecord);
        } else if (record instanceof InventoryRecord inventory) {
            return InventoryRecordCodec.encode(inventory);
        } else if (record instanceof LeaderRecord leader) {
            return LeaderRecordCodec.encode(leader);
        } else if (record instanceof FencingTokenRecord token) {
            return FencingTokenRecordCodec.encode(token);
        } else if (record instanceof MachineTypesRecord machineTypes) {
            return MachineTypesRecordCodec.encode(machineTypes);
        } else if (record instanceof UnknownRecord unknown) {
            return unknown.fields();
        }
        throw new IllegalStateException("no codec for record type " + record.getClass());
    }

    /**
     * Returns the record that a JSON object contains.
     *
     * @param key the key of the record, which determines its kind; a kind that this version does not know is returned
     *     as an {@link UnknownRecord}
     * @throws MalformedRecordException if a required field is missing or of another type
     */
    public static StoredRecord decode(String key, Map<String, Object> fields) throws MalformedRecordException {
        try {
            return decodeByKey(key, fields);
        } catch (MalformedFieldException e) {
            throw new MalformedRecordException(key, e);
        }
    }

    private static StoredRecord decodeByKey(String key, Map<String, Object> fields) {
        if (key == null) {
            throw new MalformedFieldException("key", "a text", null);
        } else if (key.startsWith(Keys.JOB_PREFIX)) {
            return JobRecordCodec.decode(fields);
        } else if (key.startsWith(Keys.PROGRESS_PREFIX)) {
            return ProgressRecordCodec.decode(fields);
        } else if (key.startsWith(Keys.FINAL_PREFIX)) {
            return FinalRecordCodec.decode(fields);
        } else if (key.startsWith(Keys.INVENTORY_PREFIX)) {
            return InventoryRecordCodec.decode(fields);
        }
        return switch (key) {
            case Keys.LEADER -> LeaderRecordCodec.decode(fields);
            case Keys.FENCING_TOKEN -> FencingTokenRecordCodec.decode(fields);
            case Keys.MACHINE_TYPES -> MachineTypesRecordCodec.decode(fields);
            default -> new UnknownRecord(fields);
        };
    }
}
