package org.granitepath.cli;

/** Settings of a controller that runs alone on one machine, without a store or a cloud. */
final class LoopbackSettings {
    /** Settings for workers, store and cloud, with small values that pass validation. */
    static final String PLATFORM_FACTS = """
            [facts.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 30.0
            [facts.state]
            rps = 10.0
            write_rps = 10.0
            value_kb = 8.0
            txn_ops = 8
            [facts.cloud]
            rps = 1.0
            list_lag_s = 1.0
            """;

    private static final String WITH_A_PEER = """
            node_name = "n0"
            site = "z"
            serve_on = "127.0.0.1:%d"
            back = "127.0.0.1:%d"
            [[others]]
            node_name = "n1"
            site = "z"
            addr = "127.0.0.1:%d"
            [services]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [facts]
            zones = ["z"]
            skew_ms = 1.0
            [[facts.teams]]
            name = "t"
            cpus = 0.0
            """ + PLATFORM_FACTS;

    private LoopbackSettings() {}

    /**
     * Returns the settings of a controller whose only peer is itself, so that messages between controllers are
     * exchanged.
     *
     * @param port the port of the API for users and workers
     * @param peerPort the port of the peer interface
     * @param closedPort a port on which nothing listens, used for the cloud and the store
     */
    static String withItselfAsPeer(int port, int peerPort, int closedPort) {
        return WITH_A_PEER.formatted(port, peerPort, peerPort, closedPort, closedPort);
    }
}
