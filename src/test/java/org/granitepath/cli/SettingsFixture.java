package org.granitepath.cli;

/** Settings that the tests start from, each changing what it is about. */
final class SettingsFixture {
    /** Valid settings of a controller without peers; nothing listens where it calls. */
    static final String GOOD = """
            node_name = "n0"
            site = "z"
            serve_on = "127.0.0.1:1"
            back = "127.0.0.1:2"
            unknown_field = 7
            [services]
            cloud = "127.0.0.1:3"
            state = "127.0.0.1:4"
            [facts]
            zones = ["z"]
            skew_ms = 25.0
            [[facts.teams]]
            name = "t"
            cpus_max = 12.5
            [[facts.objectives]]
            kind = "deadline"
            class = "c"
            times = 1.5
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

    private SettingsFixture() {}
}
