package org.granitepath.coordination.placement;

import org.jspecify.annotations.Nullable;

/** The zones in which to search for capacity: a single zone, or any. */
public final class ZoneFilter {
    /** Includes every zone. */
    public static final ZoneFilter ANY_ZONE = new ZoneFilter(null);

    private final @Nullable String onlyZone;

    private ZoneFilter(@Nullable String onlyZone) {
        this.onlyZone = onlyZone;
    }

    /** Returns a filter that includes this zone alone. */
    public static ZoneFilter only(String zone) {
        return new ZoneFilter(zone);
    }

    /** Returns whether the filter includes this zone. */
    public boolean includes(String zone) {
        return onlyZone == null || onlyZone.equals(zone);
    }
}
