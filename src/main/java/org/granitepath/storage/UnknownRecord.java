package org.granitepath.storage;

import java.util.Map;

/** A record of a kind that this version does not know, or one that can't be read. Nothing is done with it. */
public record UnknownRecord(Map<String, Object> fields) implements StoredRecord {}
