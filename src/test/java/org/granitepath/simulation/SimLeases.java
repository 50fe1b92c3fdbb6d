package org.granitepath.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the store. */
final class SimLeases {
    private final Map<Long, Long> ends = new HashMap<>();
    private final Map<Long, Long> lives = new HashMap<>();
    private long opened;

    long open(long now, long lifeMicros) {
        opened++;
        lives.put(opened, lifeMicros);
        ends.put(opened, now + lifeMicros);
        return opened;
    }

    boolean exists(long lease) {
        return ends.containsKey(lease);
    }

    void renew(long lease, long now) {
        ends.put(lease, now + lives.get(lease));
    }

    void renewAll(long now) {
        ends.replaceAll((lease, end) -> now + lives.get(lease));
    }

    /** Those whose time is over, in order: they are leases no longer. */
    List<Long> removeExpired(long now) {
        List<Long> over = ends.entrySet().stream()
                .filter(entry -> entry.getValue() < now)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        over.forEach(ends::remove);
        return over;
    }
}
