package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.Fields;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.CommitResult;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Micros;
import org.granitepath.storage.StoredRecordCodec;

/**
 * Encodes requests to the key-value store and decodes its responses.
 *
 * <p>Names in the store's protocol and their meaning: {@code guards}: preconditions; {@code stamp}: revision of a key;
 * {@code epoch}: revision of the store; {@code permit}: lease.
 */
public final class KeyValueStoreCodec {
    private static final String KEY = "key";
    private static final String STAMP = "stamp";
    private static final String EPOCH = "epoch";
    private static final String WRITE = "write";
    private static final String REMOVE = "remove";
    private static final String VALUE = "v";
    private static final String PERMIT = "permit";

    private KeyValueStoreCodec() {}

    /** Returns the body of a transaction request. */
    public static String encodeTransaction(Transaction transaction) {
        List<Object> preconditions = new ArrayList<>();
        for (Precondition precondition : transaction.preconditions()) {
            preconditions.add(Map.of(KEY, precondition.key(), STAMP, precondition.revision()));
        }
        List<Object> changes = new ArrayList<>();
        for (Change change : transaction.changes()) {
            changes.add(encodeChange(change));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", preconditions);
        body.put("apply", changes);
        return Json.encode(body);
    }

    private static Map<String, Object> encodeChange(Change change) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (change.record() == null) {
            fields.put(REMOVE, change.key());
            return fields;
        }
        fields.put(WRITE, change.key());
        fields.put(VALUE, StoredRecordCodec.encode(change.record()));
        if (change.leaseId() != 0) {
            fields.put(PERMIT, change.leaseId());
        }
        return fields;
    }

    /** Decodes the result of a transaction. The caller derives {@code outcome} from the HTTP status. */
    public static CommitResult decodeCommitResult(Outcome outcome, Map<String, Object> body) {
        return new CommitResult(outcome, Fields.longOf(body, EPOCH, 0), Fields.textsOf(body, "failed"));
    }

    /** Decodes a page of records. */
    public static Page decodeList(Map<String, Object> body) {
        List<Item> items = new ArrayList<>();
        for (Object element : Fields.listOf(body, "items")) {
            Map<String, Object> fields = Fields.requiredObject(element, "items");
            items.add(new Item(
                    Fields.requiredText(fields, KEY), Fields.mapOf(fields, VALUE), Fields.longOf(fields, STAMP, 0)));
        }
        return new Page(Outcome.OK, items, Fields.boolOf(body, "has_next"), Fields.longOf(body, EPOCH, 0));
    }

    /** Decodes the changes that a watch returned. */
    public static Page decodeEvents(Map<String, Object> body) {
        List<Item> items = new ArrayList<>();
        for (Object element : Fields.listOf(body, "events")) {
            Map<String, Object> fields = Fields.requiredObject(element, "events");
            String writtenKey = Fields.textOf(fields, WRITE);
            items.add(new Item(
                    writtenKey != null ? writtenKey : Fields.requiredText(fields, REMOVE),
                    writtenKey != null ? Fields.mapOf(fields, VALUE) : null,
                    Fields.longOf(fields, STAMP, 0)));
        }
        return new Page(Outcome.OK, items, false, Fields.longOf(body, EPOCH, 0));
    }

    /** Returns the body of a request for a lease of {@code ttlMicros} microseconds. */
    public static String encodeLeaseRequest(long ttlMicros) {
        return Json.encode(Map.of("life_ms", ttlMicros / Micros.PER_MILLI));
    }

    /** Decodes the id of a new lease. */
    public static long decodeLeaseId(Map<String, Object> body) {
        return Fields.longOf(body, PERMIT, 0);
    }
}
