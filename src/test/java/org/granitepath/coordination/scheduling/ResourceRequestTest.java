package org.granitepath.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests which requests cannot be met if another request could not be met. */
class ResourceRequestTest {
    private static ResourceRequest request(long cpuMillis, long memoryMillis, String zone, List<String> closedZones) {
        return new ResourceRequest(cpuMillis, 0, memoryMillis, null, zone, closedZones, true, false, Priority.STANDARD);
    }

    @Test
    void requestIsAtMostAnotherOnlyIfEveryAmountIs() {
        ResourceRequest small = request(1_000, 1_000, null, List.of());
        assertTrue(small.isAtMost(request(1_000, 1_000, null, List.of())));
        assertTrue(small.isAtMost(request(1_000, 2_000, null, List.of())));
        assertFalse(small.isAtMost(request(2_000, 500, null, List.of())));
    }

    @Test
    void requestsWithDifferentConstraintsAreNotComparable() {
        ResourceRequest anywhere = request(1_000, 1_000, null, List.of());
        assertFalse(anywhere.isAtMost(request(1_000, 1_000, "a", List.of())));
        assertFalse(anywhere.isAtMost(request(1_000, 1_000, null, List.of("a"))));
    }
}
