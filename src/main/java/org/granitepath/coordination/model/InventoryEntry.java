package org.granitepath.coordination.model;

/** Where a machine is on record, and under which fencing token it is commanded. */
public final class InventoryEntry {
    private static final int NOT_IN_INVENTORY = -1;

    private long fencingToken;
    private boolean recorded;
    private int part = NOT_IN_INVENTORY;
    private boolean needsNewToken;
    private boolean needsTokenForCleanup;

    /** The machine joins the fleet and is to be commanded under this fencing token. */
    void joinFleet(long token) {
        fencingToken = token;
    }

    /** The fencing token under which it is commanded. */
    public long fencingToken() {
        return fencingToken;
    }

    /** It was found on record, in this part of the inventory, and belongs to the leader with this fencing token. */
    public void restoreFromRecord(int part, long token) {
        this.part = part;
        recorded = true;
        fencingToken = token;
    }

    /** The part of the inventory that holds its row, on record or to be written. */
    public int part() {
        return part;
    }

    /** The row is to be written in this part. */
    public void assignPart(int part) {
        this.part = part;
    }

    /** Whether the store has it in our inventory under its fencing token. Nothing starts before. */
    public boolean isRecorded() {
        return recorded;
    }

    /** The row is on record. */
    public void markRecorded() {
        recorded = true;
    }

    /** Whether it takes no tasks before a higher fencing token is on record for it. */
    public boolean needsNewToken() {
        return needsNewToken;
    }

    /** It must get a higher fencing token before it takes tasks again. */
    public void requireNewToken() {
        needsNewToken = true;
    }

    /** Whether it needs a higher fencing token only so that exited attempts can be cleared, which can wait. */
    public boolean needsTokenForCleanup() {
        return needsTokenForCleanup;
    }

    /** It needs a higher fencing token some time. */
    public void requireTokenForCleanup() {
        needsTokenForCleanup = true;
    }

    /** The time has come to draw the fencing tokens that could wait. */
    public void requireCleanupTokenNow() {
        needsNewToken |= needsTokenForCleanup;
    }

    /** A higher fencing token is on record for it. */
    public void applyRaisedToken(long token) {
        needsNewToken = false;
        needsTokenForCleanup = false;
        fencingToken = token;
    }
}
