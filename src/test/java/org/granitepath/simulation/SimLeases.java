package org.granitepath.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the simulated store. Ids are counted up from one; all times are in microseconds. */
final class SimLeases {
    private final Map<Long, Long> expiryMicros = new HashMap<>();
    private final Map<Long, Long> durationMicros = new HashMap<>();
    private long lastLeaseId;

    long open(long nowMicros, long leaseMicros) {
        lastLeaseId++;
        durationMicros.put(lastLeaseId, leaseMicros);
        expiryMicros.put(lastLeaseId, nowMicros + leaseMicros);
        return lastLeaseId;
    }

    boolean exists(long lease) {
        return expiryMicros.containsKey(lease);
    }

    void renew(long lease, long nowMicros) {
        expiryMicros.put(lease, nowMicros + durationMicros.get(lease));
    }

    void renewAll(long nowMicros) {
        expiryMicros.replaceAll((lease, end) -> nowMicros + durationMicros.get(lease));
    }

    /** Removes the leases that have expired and returns their ids in ascending order. */
    List<Long> removeExpired(long nowMicros) {
        List<Long> expired = expiryMicros.entrySet().stream()
                .filter(entry -> entry.getValue() < nowMicros)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        expired.forEach(expiryMicros::remove);
        return expired;
    }
}
