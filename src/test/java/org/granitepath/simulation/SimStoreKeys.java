package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.granitepath.protocol.Json;
import org.granitepath.storage.KeyValueStore;
import org.jspecify.annotations.Nullable;

/** The keys of the simulated store and its latest changes. Values are kept as JSON text, as on the wire. */
final class SimStoreKeys {
    private static final int MAX_LOGGED_CHANGES = 400;
    private static final int MAX_PAGE_SIZE = 20;

    private record StoredValue(String json, long revision, long lease) {}

    /** @param json the new value; null if the key was removed */
    private record LoggedChange(String key, @Nullable String json, long revision) {}

    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<LoggedChange> log = new ArrayList<>();
    private final Map<String, Integer> writesByKey = new HashMap<>();
    private long revision;

    /** The revision of the latest change of the store. */
    long revision() {
        return revision;
    }

    /** The revision of the latest change of a key; zero if the key does not exist. */
    long revisionOf(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? 0 : stored.revision();
    }

    /** How many changes transactions have made to a key so far. */
    int writeCount(String key) {
        return writesByKey.getOrDefault(key, 0);
    }

    /** The length of the largest value in characters; 0 if there is none. */
    int largestValueLength() {
        return values.values().stream()
                .mapToInt(stored -> stored.json().length())
                .max()
                .orElse(0);
    }

    boolean hasValue(String key, String json) {
        return values.containsKey(key) && values.get(key).json().equals(json);
    }

    /** Writes a value as a client other than the controllers, under a revision of its own. */
    void writeExternally(String key, String json) {
        revision++;
        write(key, json, 0);
    }

    /** Applies the changes of one transaction under one revision. */
    void apply(List<KeyValueStore.Change> changes) {
        revision++;
        for (KeyValueStore.Change change : changes) {
            writesByKey.merge(change.key(), 1, Integer::sum);
            if (change.record() == null) {
                remove(change.key());
            } else {
                write(change.key(), TransactionLimits.encodedValue(change), change.leaseId());
            }
        }
    }

    /** Removes the keys of an expired lease, each under a revision of its own. */
    void removeKeysOfLease(long lease) {
        List<String> expiredKeys = values.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        for (String key : expiredKeys) {
            revision++;
            remove(key);
        }
    }

    private void write(String key, String json, long lease) {
        values.put(key, new StoredValue(json, revision, lease));
        log.add(new LoggedChange(key, json, revision));
    }

    private void remove(String key) {
        values.remove(key);
        log.add(new LoggedChange(key, null, revision));
    }

    /**
     * The keys with this prefix in ascending order, at most 20 a page.
     *
     * @param from the key after which the page begins; empty for the first page
     */
    KeyValueStore.Page list(String prefix, String from, int limit) {
        List<KeyValueStore.Item> items = new ArrayList<>();
        boolean first = from.isEmpty();
        for (var entry : values.tailMap(first ? prefix : from, first).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() == Math.min(limit, MAX_PAGE_SIZE)) {
                return page(items, true);
            }
            items.add(item(
                    entry.getKey(), entry.getValue().json(), entry.getValue().revision()));
        }
        return page(items, false);
    }

    /** The changes of keys with a prefix after a revision; {@code GONE} if some of them are no longer kept. */
    KeyValueStore.Page changes(String prefix, long from) {
        if (log.size() > MAX_LOGGED_CHANGES) {
            log.subList(0, log.size() - MAX_LOGGED_CHANGES).clear();
        }
        if (from < revision && !log.isEmpty() && log.get(0).revision() > from + 1) {
            return new KeyValueStore.Page(KeyValueStore.Outcome.GONE, List.of(), false, revision);
        }
        List<KeyValueStore.Item> items = new ArrayList<>();
        for (LoggedChange logged : log) {
            if (logged.revision() > from && logged.key().startsWith(prefix)) {
                items.add(item(logged.key(), logged.json(), logged.revision()));
            }
        }
        return page(items, false);
    }

    private static KeyValueStore.Item item(String key, @Nullable String json, long revision) {
        return new KeyValueStore.Item(key, json == null ? null : Json.decodeObject(json), revision);
    }

    private KeyValueStore.Page page(List<KeyValueStore.Item> items, boolean more) {
        return new KeyValueStore.Page(KeyValueStore.Outcome.OK, items, more, revision);
    }
}
