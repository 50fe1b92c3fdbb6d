package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.granitepath.coordination.config.StoreLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
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

    @TempDir
    Path dir;

    private Path file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    @Test
    void goodSettingsAreReadAndUnknownFieldsIgnored() throws Exception {
        Settings s = Settings.read(file("a.toml", GOOD), null, false);
        assertEquals(12_500, s.config().teams().get("t").cpuLimit());
        assertEquals(1.5, s.config().objectives().get("c").deadlineTimes());
        assertEquals(25_000, s.config().skewMicros());
    }

    @Test
    void badSettingsAreNamed() throws IOException {
        Path bad = file("b.toml", GOOD.replace("lease_s = 10.0", "lease_s = \"ten\""));
        Settings.Invalid e = assertThrows(Settings.Invalid.class, () -> Settings.read(bad, null, false));
        assertTrue(e.getMessage().contains("facts.workers.lease_s"), e.getMessage());
        Path sockets = file("s.toml", GOOD + "[facts.resources]\nmax_connections = 0\n");
        e = assertThrows(Settings.Invalid.class, () -> Settings.read(sockets, null, false));
        assertTrue(e.getMessage().contains("facts.resources.max_connections"), e.getMessage());
        Path tuning = file("t.yaml", "idle-shar: 2\n");
        e = assertThrows(Settings.Invalid.class, () -> Settings.read(file("c.toml", GOOD), tuning, false));
        assertTrue(e.getMessage().contains("idle-shar"), e.getMessage());
        Path former = file("f.yaml", "patience-share: 0.4\n");
        e = assertThrows(Settings.Invalid.class, () -> Settings.read(file("c.toml", GOOD), former, false));
        assertTrue(e.getMessage().contains("deferral-share"), e.getMessage());
    }

    /**
     * Under these no rule could be kept, whatever the service does: the start ends with one line that names the
     * setting.
     */
    @Test
    void impossibleTimesAndTeamsAreNamed() throws IOException {
        assertInvalid("facts.workers.cancel_s", "cancel_s = 30.0", "cancel_s = 13.9");
        assertInvalid("facts.workers.lease_s", "lease_s = 10.0", "lease_s = 1.9");
        assertInvalid("team t", "cpus_max = 12.5", "cpus = 13.0\ncpus_max = 12.5");
        assertInvalid("team t", "cpus_max = 12.5", "cpus_max = -1.0");
    }

    private void assertInvalid(String named, String good, String bad) throws IOException {
        Path file = file("x.toml", GOOD.replace(good, bad));
        Settings.Invalid e = assertThrows(Settings.Invalid.class, () -> Settings.read(file, null, false));
        assertTrue(e.getMessage().contains(named) && !e.getMessage().contains("\n"), e.getMessage());
    }

    @Test
    void leastTimesAreAccepted() throws Exception {
        Settings s = Settings.read(file("y.toml", GOOD.replace("cancel_s = 30.0", "cancel_s = 14.1")), null, false);
        assertTrue(s.config().workers().maxDisconnectedMicros() >= 1_000_000);
    }

    @Test
    void wrongUseEndsWithAStatus() throws IOException {
        assertEquals(Command.BAD_USE, Main.execute("serve", "--confg", "x"));
        assertEquals(Command.BAD_USE, Main.execute("serve"));
        assertEquals(Command.BAD_USE, Main.execute("serve", "--config", "/nonexistent"));
        assertEquals(Command.BAD_USE, Main.execute("dance"));
        assertEquals(
                Command.OK,
                Main.execute("check-config", "--config", file("d.toml", GOOD).toString()));
    }

    private static final String NEXT =
            "txn_ops = 8\n[facts.state.next]\nwrite_rps = 7.5\nvalue_kb = 2.0\ntxn_ops = 5\n";

    /** Limits that the store will have later hold from the first start, since they come without notice. */
    @Test
    void nextLimitsAreKeptFromTheStart() throws Exception {
        Settings next = Settings.read(file("n.toml", GOOD.replace("txn_ops = 8\n", NEXT)), null, false);
        assertEquals(new StoreLimits(7.5, 2048, 5), next.config().limits().store());
        Settings present = Settings.read(file("p.toml", GOOD), null, false);
        assertEquals(new StoreLimits(10, 8192, 8), present.config().limits().store());
        Settings some = Settings.read(
                file("o.toml", GOOD.replace("txn_ops = 8\n", "txn_ops = 8\n[facts.state.next]\nvalue_kb = 4.0\n")),
                null,
                false);
        assertEquals(new StoreLimits(10, 4096, 8), some.config().limits().store());
    }

    @Test
    void impossibleGangTimesAndNextLimitsAreNamed() throws IOException {
        assertInvalid("facts.workers.gang_wait_s", "cancel_s = 30.0", "cancel_s = 30.0\ngang_wait_s = 0.0");
        assertInvalid("facts.workers.gang_peer_s", "cancel_s = 30.0", "cancel_s = 30.0\ngang_peer_s = \"5\"");
        assertInvalid("facts.state.next", "txn_ops = 8", "txn_ops = 8\nnext = 3");
        assertInvalid("facts.state.next.txn_ops", "txn_ops = 8\n", NEXT.replace("txn_ops = 5", "txn_ops = -1"));
        assertInvalid("facts.state.next.value_kb", "txn_ops = 8\n", NEXT.replace("value_kb = 2.0", "value_kb = 0"));
        assertInvalid("facts.state.next.write_rps", "txn_ops = 8\n", NEXT.replace("7.5", "\"fast\""));
    }

    /** The hold of a recovery follows from the leases, or from the operators' file; contradictions are named. */
    @Test
    void theHoldOfARecovery() throws Exception {
        Path platform = file("h.toml", GOOD);
        assertEquals(0, Settings.read(platform, null, false).config().tuning().recoveryHoldMicros());
        Settings byLease = Settings.read(platform, null, true);
        assertEquals(
                byLease.config().workers().leaseMicros() / 4,
                byLease.config().tuning().recoveryHoldMicros());
        Path five = file("five.yaml", "recovery-hold-s: 5\n");
        assertEquals(
                5_000_000, Settings.read(platform, five, true).config().tuning().recoveryHoldMicros());
        for (String bad : new String[] {
            "recovery-hold-s: -1\n",
            "recovery-hold-s: 61\n",
            "recovery-hold-s: soon\n",
            "recovery-hold-s: 0\n",
            "recovery-hold-s: 30\nmax-starvation-s: 20\n"
        }) {
            Path tuning = file("bad.yaml", bad);
            Settings.Invalid e = assertThrows(Settings.Invalid.class, () -> Settings.read(platform, tuning, true), bad);
            assertTrue(e.getMessage().contains("recovery-hold-s"), e.getMessage());
        }
    }
}
