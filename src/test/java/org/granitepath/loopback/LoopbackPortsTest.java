package org.granitepath.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that no other server takes the reserved ports before the controllers of a loopback test start. */
class LoopbackPortsTest {
    private static List<Integer> reserve(LoopbackPorts ports, int count) throws IOException {
        List<Integer> reserved = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reserved.add(ports.reserve());
        }
        return reserved;
    }

    @Test
    void portsAreDistinctAndBelowTheEphemeralRange() throws IOException {
        List<Integer> reserved = reserve(new LoopbackPorts(), 200);

        assertEquals(200, new HashSet<>(reserved).size());
        assertTrue(reserved.stream().allMatch(port -> port >= LoopbackPorts.FIRST && port < LoopbackPorts.END));
    }

    /**
     * The fake servers listen on ports that the system chooses before the controllers listen on their reserved ports.
     */
    @Test
    void portsAreNotTakenByServersOnEphemeralPorts() throws IOException {
        Set<Integer> reserved = new HashSet<>(reserve(new LoopbackPorts(), 6));

        for (int i = 0; i < 500; i++) {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                assertFalse(reserved.contains(server.getLocalPort()));
            }
        }
    }

    @Test
    void portsInUseAreSkipped() throws IOException {
        LoopbackPorts ports = new LoopbackPorts();
        int before = ports.reserve();
        int following = before + 1 < LoopbackPorts.END ? before + 1 : LoopbackPorts.FIRST;

        try (ServerSocket other = new ServerSocket()) {
            other.setReuseAddress(true);
            other.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), following));
            assertFalse(reserve(ports, 20).contains(following));
        }
    }
}
