package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Valid settings, from which each test changes what it needs. */
final class SettingsFixture {
    /** Valid settings of a controller without peers. Nothing listens at the addresses of the cloud and the store. */
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

    /** Returns the valid settings with {@code present}, which they must contain, replaced by {@code replacement}. */
    static String validWith(String present, String replacement) {
        assertTrue(VALID_TOML.contains(present), () -> "the valid settings do not contain " + present);
        return VALID_TOML.replace(present, replacement);
    }
}
