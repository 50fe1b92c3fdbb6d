package org.granitepath.coordination.model;

/** The place of a machine in the stored inventory, and the fencing token of the commands sent to it. */
public final class InventoryEntry {
    private static final int NOT_IN_INVENTORY = -1;

    private long fencingToken;
    private boolean recorded;
    private int part = NOT_IN_INVENTORY;
    private boolean needsNewToken;
    private boolean needsTokenForCleanup;

    /** Sets the fencing token of a machine that joins the fleet. */
    void joinFleet(long token) {
        fencingToken = token;
    }

    /** Returns the fencing token with which commands are sent to the machine. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Restores the entry of a machine that the store holds in the given part, under the given fencing token. */
    public void restoreFromRecord(int part, long token) {
        this.part = part;
        recorded = true;
        fencingToken = token;
    }

    /** Returns the part of the inventory that holds the machine's row, whether the row is stored yet or not. */
    public int part() {
        return part;
    }

    /** Sets the part of the inventory to which the machine's row is to be written. */
    public void assignPart(int part) {
        this.part = part;
    }

    /**
     * Returns whether the store holds the machine in this leader's inventory, under its fencing token. No task starts
     * on the machine before.
     */
    public boolean isRecorded() {
        return recorded;
    }

    /** Notes that the machine's row is stored. */
    public void markRecorded() {
        recorded = true;
    }

    /** Returns whether the machine takes no tasks until a higher fencing token is stored for it. */
    public boolean needsNewToken() {
        return needsNewToken;
    }

    /** Requires a higher fencing token before the machine takes tasks again. */
    public void requireNewToken() {
        needsNewToken = true;
    }

    /**
     * Returns whether the machine needs a higher fencing token only to clear exited attempts. That token may be drawn
     * later.
     */
    public boolean needsTokenForCleanup() {
        return needsTokenForCleanup;
    }

    /** Requires a higher fencing token to clear exited attempts; it may be drawn later. */
    public void requireTokenForCleanup() {
        needsTokenForCleanup = true;
    }

    /** Requires the deferred token, if any, without further delay. */
    public void requireCleanupTokenNow() {
        needsNewToken |= needsTokenForCleanup;
    }

    /** Sets the higher fencing token that is now stored for the machine. */
    public void applyRaisedToken(long token) {
        needsNewToken = false;
        needsTokenForCleanup = false;
        fencingToken = token;
    }
}
