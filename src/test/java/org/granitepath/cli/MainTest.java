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
    @TempDir
    Path dir;

    private Path file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    @Test
    void goodSettingsAreReadAndUnknownFieldsIgnored() throws Exception {
        Settings settings = Settings.read(file("a.toml", SettingsFixture.GOOD), null, false);
        assertEquals(12_500, settings.config().teams().get("t").cpuLimit());
        assertEquals(1.5, settings.config().objectives().get("c").deadlineTimes());
        assertEquals(25_000, settings.config().skewMicros());
    }

    @Test
    void badSettingsAreNamed() throws IOException {
        Path bad = file("b.toml", SettingsFixture.GOOD.replace("lease_s = 10.0", "lease_s = \"ten\""));
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> Settings.read(bad, null, false));
        assertTrue(thrown.getMessage().contains("facts.workers.lease_s"), thrown.getMessage());
        Path sockets = file("s.toml", SettingsFixture.GOOD + "[facts.resources]\nmax_connections = 0\n");
        thrown = assertThrows(InvalidSettingException.class, () -> Settings.read(sockets, null, false));
        assertTrue(thrown.getMessage().contains("facts.resources.max_connections"), thrown.getMessage());
        Path tuning = file("t.yaml", "idle-shar: 2\n");
        thrown = assertThrows(
                InvalidSettingException.class,
                () -> Settings.read(file("c.toml", SettingsFixture.GOOD), tuning, false));
        assertTrue(thrown.getMessage().contains("idle-shar"), thrown.getMessage());
        Path former = file("f.yaml", "patience-share: 0.4\n");
        thrown = assertThrows(
                InvalidSettingException.class,
                () -> Settings.read(file("c.toml", SettingsFixture.GOOD), former, false));
        assertTrue(thrown.getMessage().contains("deferral-share"), thrown.getMessage());
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
        Path file = file("x.toml", SettingsFixture.GOOD.replace(good, bad));
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> Settings.read(file, null, false));
        assertTrue(thrown.getMessage().contains(named) && !thrown.getMessage().contains("\n"), thrown.getMessage());
    }

    @Test
    void leastTimesAreAccepted() throws Exception {
        Settings settings = Settings.read(
                file("y.toml", SettingsFixture.GOOD.replace("cancel_s = 30.0", "cancel_s = 14.1")), null, false);
        assertTrue(settings.config().workers().maxDisconnectedMicros() >= 1_000_000);
    }

    @Test
    void wrongUseEndsWithAStatus() throws IOException {
        assertEquals(Command.BAD_USE, Main.execute("serve", "--confg", "x"));
        assertEquals(Command.BAD_USE, Main.execute("serve"));
        assertEquals(Command.BAD_USE, Main.execute("serve", "--config", "/nonexistent"));
        assertEquals(Command.BAD_USE, Main.execute("dance"));
        assertEquals(
                Command.OK,
                Main.execute(
                        "check-config",
                        "--config",
                        file("d.toml", SettingsFixture.GOOD).toString()));
    }

    private static final String NEXT =
            "txn_ops = 8\n[facts.state.next]\nwrite_rps = 7.5\nvalue_kb = 2.0\ntxn_ops = 5\n";

    /** Limits that the store will have later hold from the first start, since they come without notice. */
    @Test
    void nextLimitsAreKeptFromTheStart() throws Exception {
        Settings next = Settings.read(file("n.toml", SettingsFixture.GOOD.replace("txn_ops = 8\n", NEXT)), null, false);
        assertEquals(new StoreLimits(7.5, 2048, 5), next.config().limits().store());
        Settings present = Settings.read(file("p.toml", SettingsFixture.GOOD), null, false);
        assertEquals(new StoreLimits(10, 8192, 8), present.config().limits().store());
        Settings some = Settings.read(
                file(
                        "o.toml",
                        SettingsFixture.GOOD.replace(
                                "txn_ops = 8\n", "txn_ops = 8\n[facts.state.next]\nvalue_kb = 4.0\n")),
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
        Path platform = file("h.toml", SettingsFixture.GOOD);
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
            InvalidSettingException thrown =
                    assertThrows(InvalidSettingException.class, () -> Settings.read(platform, tuning, true), bad);
            assertTrue(thrown.getMessage().contains("recovery-hold-s"), thrown.getMessage());
        }
    }
}
