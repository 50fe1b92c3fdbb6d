package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stored records as JSON objects. The names of the fields and their order are fixed: the store holds records that other
 * versions wrote, and other versions read ours.
 *
 * <p>Words of stored records: {@code owner} is our leader, {@code baton} our fencing token, {@code how} our outcome,
 * {@code at} the time of acceptance.
 */
public final class StoredRecordCodec {
    private static final String OWNER = "owner";
    private static final String TERM = "term";
    private static final String LAST = "last";
    private static final String CLAIMED = "claimed";
    private static final String SPEC = "spec";
    private static final String AT = "at";
    private static final String HOW = "how";
    private static final String NODE = "node";
    private static final String INCARNATION = "incarnation";
    private static final String BATON = "baton";
    private static final String TYPES = "types";

    private static final int CODE_DONE = 0;
    private static final int CODE_CANCELLED = 1;

    private StoredRecordCodec() {}

    /** The record as a JSON object. */
    public static Map<String, Object> encode(StoredRecord record) {
        // One branch for each permitted type: a test goes through all of them.
        if (record instanceof ProgressRecord progress) {
            return ProgressRecordCodec.encode(progress);
        } else if (record instanceof JobRecord job) {
            return encodeJob(job);
        } else if (record instanceof FinalRecord end) {
            return Map.of(HOW, code(end.outcome()));
        } else if (record instanceof InventoryRecord inventory) {
            return InventoryRecordCodec.encode(inventory);
        } else if (record instanceof LeaderRecord leader) {
            return encodeLeader(leader);
        } else if (record instanceof FencingTokenRecord token) {
            return Map.of(OWNER, token.leader(), TERM, token.term(), LAST, token.last());
        } else if (record instanceof MachineTypesRecord machineTypes) {
            return Map.of(
                    TYPES,
                    machineTypes.types().stream().map(MachineTypeCodec::encode).toList());
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
        } else if (key.startsWith(Keys.JOB)) {
            return decodeJob(fields);
        } else if (key.startsWith(Keys.PROGRESS)) {
            return ProgressRecordCodec.decode(fields);
        } else if (key.startsWith(Keys.FINAL)) {
            return new FinalRecord(outcome(Fields.requiredInt(fields, HOW)));
        } else if (key.startsWith(Keys.INVENTORY)) {
            return InventoryRecordCodec.decode(fields);
        }
        return switch (key) {
            case Keys.LEADER -> decodeLeader(fields);
            case Keys.FENCING_TOKEN -> decodeFencingToken(fields);
            case Keys.TYPES -> decodeMachineTypes(fields);
            default -> new UnknownRecord(fields);
        };
    }

    private static Map<String, Object> encodeJob(JobRecord job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SPEC, JobSpecCodec.encode(job.spec()));
        fields.put(AT, job.acceptedMicros());
        fields.put(CLAIMED, job.claimed());
        fields.put(TERM, job.term());
        return fields;
    }

    private static JobRecord decodeJob(Map<String, Object> fields) {
        return new JobRecord(
                JobSpecCodec.decode(Fields.requiredMap(fields, SPEC)),
                Fields.longOf(fields, AT, 0),
                Fields.requiredInt(fields, CLAIMED),
                Fields.longOf(fields, TERM, 0));
    }

    private static Map<String, Object> encodeLeader(LeaderRecord leader) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(NODE, leader.node());
        fields.put(INCARNATION, leader.incarnation());
        fields.put(BATON, leader.fencingToken());
        return fields;
    }

    private static LeaderRecord decodeLeader(Map<String, Object> fields) {
        return new LeaderRecord(
                Fields.requiredText(fields, NODE),
                Fields.requiredText(fields, INCARNATION),
                Fields.longOf(fields, BATON, 0));
    }

    private static FencingTokenRecord decodeFencingToken(Map<String, Object> fields) {
        return new FencingTokenRecord(
                Fields.textOf(fields, OWNER), Fields.longOf(fields, TERM, 0), Fields.longOf(fields, LAST, 0));
    }

    private static MachineTypesRecord decodeMachineTypes(Map<String, Object> fields) {
        List<MachineType> types = Fields.listOf(fields, TYPES).stream()
                .map(type -> MachineTypeCodec.decode(Fields.requiredObject(type, TYPES)))
                .toList();
        return new MachineTypesRecord(types);
    }

    private static int code(FinalRecord.Outcome outcome) {
        return switch (outcome) {
            case DONE -> CODE_DONE;
            case CANCELLED -> CODE_CANCELLED;
        };
    }

    /** A code that is not known counts as done: the job is over all the same. */
    private static FinalRecord.Outcome outcome(int code) {
        return code == CODE_CANCELLED ? FinalRecord.Outcome.CANCELLED : FinalRecord.Outcome.DONE;
    }
}
