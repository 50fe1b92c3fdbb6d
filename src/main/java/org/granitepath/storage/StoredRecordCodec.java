package org.granitepath.storage;

import java.util.Map;

/**
 * Stored records as JSON objects, each kind by a codec of its own, which alone knows the names of its fields. These and
 * their order are fixed: the store holds records that other versions wrote, and other versions read ours.
 */
public final class StoredRecordCodec {
    private StoredRecordCodec() {}

    /** The record as a JSON object. */
    public static Map<String, Object> encode(StoredRecord record) {
        // One branch for each permitted type: a test goes through all of them.
        if (record instanceof ProgressRecord progress) {
            return ProgressRecordCodec.encode(progress);
        } else if (record instanceof JobRecord job) {
            return JobRecordCodec.encode(job);
        } else if (record instanceof FinalRecord end) {
            return FinalRecordCodec.encode(end);
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
        throw new IllegalStateException("no encoding of " + record.getClass());
    }

    /**
     * Reads a record.
     *
     * @param key its name, which tells its kind; kinds that a newer version may have are {@link UnknownRecord}s
     * @throws MalformedRecordException when a field that has to be there is missing or of another type
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
