package org.granitepath.coordination.placement;

import org.jspecify.annotations.Nullable;

/** The zones in which capacity is looked for: a single one, or any. */
public final class ZoneFilter {
    /** Leaves no zone out. */
    public static final ZoneFilter ANY_ZONE = new ZoneFilter(null);

    private final @Nullable String onlyZone;

    private ZoneFilter(@Nullable String onlyZone) {
        this.onlyZone = onlyZone;
    }

    /** Leaves out all zones but this one. */
    public static ZoneFilter only(String zone) {
        return new ZoneFilter(zone);
    }

    /** Whether this zone is among them. */
    public boolean includes(String zone) {
        return onlyZone == null || onlyZone.equals(zone);
    }
}
