package org.granitepath.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.junit.jupiter.api.Test;

/** Recorded types are used until the cloud has answered once. Only a leader refreshes known types. */
class MachineTypeCatalogTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final List<Consumer<List<MachineType>>> requests = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final MachineTypeCatalog catalog =
            new MachineTypeCatalog(cloud(), timers, new MachineTypeCatalog.Listener() {
                @Override
                public void onFetched(List<MachineType> types) {
                    events.add("fetched");
                }

                @Override
                public void onReadFromRecord(List<MachineType> types) {
                    events.add("read");
                }
            });

    /** A cloud that collects the requests for machine types; no other method is called. */
    @SuppressWarnings("unchecked")
    private CloudPort cloud() {
        return (CloudPort) Proxy.newProxyInstance(
                CloudPort.class.getClassLoader(), new Class<?>[] {CloudPort.class}, (proxy, method, arguments) -> {
                    requests.add((Consumer<List<MachineType>>) arguments[0]);
                    return null;
                });
    }

    private static List<MachineType> types(String name) {
        return List.of(new MachineType(name, 1, 0, 1, 1, 1, 1, SECOND_MICROS, List.of("zone")));
    }

    @Test
    void recordedTypesAreUsedOnlyUntilTheCloudHasAnswered() {
        catalog.onRecordRead(types("recorded"));
        catalog.refreshIfDue(timers.nowMicros());
        requests.get(0).accept(types("fetched"));
        catalog.onRecordRead(types("recorded"));
        assertEquals(List.of("read", "fetched"), events);
        assertEquals("fetched", catalog.all().iterator().next().name());
    }

    @Test
    void onlyALeaderRefreshesKnownTypes() {
        catalog.fetchIfUnknown();
        catalog.fetchIfUnknown();
        assertEquals(1, requests.size(), "one request at a time");
        requests.get(0).accept(null);
        assertTrue(catalog.isEmpty() && events.isEmpty());
        catalog.fetchIfUnknown();
        requests.get(1).accept(types("fetched"));
        timers.advance(61 * SECOND_MICROS);
        catalog.fetchIfUnknown();
        assertEquals(2, requests.size(), "types that are known are not fetched again");
        catalog.refreshIfDue(timers.nowMicros());
        assertEquals(3, requests.size(), "a leader refreshes types older than a minute");
    }
}
