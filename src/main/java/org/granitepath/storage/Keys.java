package org.granitepath.storage;

/** Names of the records in the store. */
public final class Keys {
    public static final String ALL = "g/";
    public static final String JOB = "g/j/";
    public static final String PROGRESS = "g/p/";
    public static final String FINAL = "g/f/";
    public static final String INVENTORY = "g/roster/";
    public static final String LEADER = "g/leader";
    public static final String FENCING_TOKEN = "g/baton";
    public static final String TYPES = "g/types";

    private Keys() {}
}
