package org.granitepath.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.Fields;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.StoredRecordCodec;

/** Calls to the store. */
public final class KeyValueStoreCodec {
    private KeyValueStoreCodec() {}

    /** The request for a transaction. */
    public static String encodeTransaction(Transaction transaction) {
        List<Object> preconditions = new ArrayList<>();
        for (Precondition g : transaction.preconditions()) {
            preconditions.add(Map.of("key", g.key(), "stamp", g.revision()));
        }
        List<Object> apply = new ArrayList<>();
        for (Change c : transaction.changes()) {
            Map<String, Object> m = new LinkedHashMap<>();
            if (c.record() == null) {
                m.put("remove", c.key());
            } else {
                m.put("write", c.key());
                m.put("v", StoredRecordCodec.encode(c.record()));
                if (c.lease() != 0) {
                    m.put("permit", c.lease());
                }
            }
            apply.add(m);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", preconditions);
        body.put("apply", apply);
        return Json.text(body);
    }

    /** Reads a page of keys. */
    @SuppressWarnings("unchecked")
    public static Page decodeList(Map<String, Object> body) {
        List<Item> items = new ArrayList<>();
        for (Object o : Fields.listOf(body, "items")) {
            Map<String, Object> m = (Map<String, Object>) o;
            items.add(new Item(Fields.textOf(m, "key"), Fields.mapOf(m, "v"), Fields.longOf(m, "stamp", 0)));
        }
        return new Page(Outcome.OK, items, Fields.boolOf(body, "has_next"), Fields.longOf(body, "epoch", 0));
    }

    /** Reads the changes that a watch brought. */
    @SuppressWarnings("unchecked")
    public static Page decodeFollow(Map<String, Object> body) {
        List<Item> items = new ArrayList<>();
        for (Object o : Fields.listOf(body, "events")) {
            Map<String, Object> m = (Map<String, Object>) o;
            String written = Fields.textOf(m, "write");
            items.add(new Item(
                    written != null ? written : Fields.textOf(m, "remove"),
                    written != null ? Fields.mapOf(m, "v") : null,
                    Fields.longOf(m, "stamp", 0)));
        }
        return new Page(Outcome.OK, items, false, Fields.longOf(body, "epoch", 0));
    }

    /** The request for a lease. */
    public static String encodeLease(long lifeMicros) {
        return Json.text(Map.of("life_ms", lifeMicros / 1000));
    }

    /** Reads the number of a new lease. */
    public static long decodeLease(Map<String, Object> body) {
        return Fields.longOf(body, "permit", 0);
    }
}
