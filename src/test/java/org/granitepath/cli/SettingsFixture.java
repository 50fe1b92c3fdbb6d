package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Settings that the tests start from, each changing what it is about. */
final class SettingsFixture {
    /** Valid settings of a controller without peers; nothing listens where it calls. */
    static final String VALID_TOML = """
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
            """ + LoopbackSettings.PLATFORM_FACTS;

    private SettingsFixture() {}

    /** The valid settings with another text in the place of one that they must have. */
    static String validWith(String present, String instead) {
        assertTrue(VALID_TOML.contains(present), () -> "the settings have no " + present);
        return VALID_TOML.replace(present, instead);
    }
}
