package org.granitepath.storage;

import java.util.Map;

/**
 * A record of a kind that this version does not know, or a record that cannot be read. It is not processed any further.
 */
public record UnknownRecord(Map<String, Object> fields) implements StoredRecord {}
