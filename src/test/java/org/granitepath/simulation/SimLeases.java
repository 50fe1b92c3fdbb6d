package org.granitepath.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the simulated store. Ids are counted up from one; all times are in microseconds. */
final class SimLeases {
    private final Map<Long, Long> expiryMicros = new HashMap<>();
    private final Map<Long, Long> durationMicros = new HashMap<>();
    private long lastLeaseId;

    long open(long now, long leaseMicros) {
        lastLeaseId++;
        durationMicros.put(lastLeaseId, leaseMicros);
        expiryMicros.put(lastLeaseId, now + leaseMicros);
        return lastLeaseId;
    }

    boolean exists(long lease) {
        return expiryMicros.containsKey(lease);
    }

    void renew(long lease, long now) {
        expiryMicros.put(lease, now + durationMicros.get(lease));
    }

    void renewAll(long now) {
        expiryMicros.replaceAll((lease, end) -> now + durationMicros.get(lease));
    }

    /** Removes the leases that have expired and returns their ids in ascending order. */
    List<Long> removeExpired(long now) {
        List<Long> expired = expiryMicros.entrySet().stream()
                .filter(entry -> entry.getValue() < now)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        expired.forEach(expiryMicros::remove);
        return expired;
    }
}
