package org.granitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.granitepath.coordination.config.StoreLimits;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings files as the commands read them, and the status with which the program ends. */
class MainTest {
    @TempDir
    Path dir;

    private Path file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    private Settings read(String toml) throws Exception {
        return Settings.read(file("platform.toml", toml), null, false);
    }

    /** What the operator is told of settings that can't be used, which must be one line. */
    private static String refusal(Path toml, @Nullable Path yaml, boolean liveFirst) {
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> Settings.read(toml, yaml, liveFirst));
        assertFalse(thrown.getMessage().contains("\n"), thrown.getMessage());
        return thrown.getMessage();
    }

    private void assertRefusedWith(String named, String toml) throws IOException {
        String refusal = refusal(file("bad.toml", toml), null, false);
        assertTrue(refusal.contains(named), refusal);
    }

    @Test
    void goodSettingsAreReadAndUnknownFieldsIgnored() throws Exception {
        Settings settings = read(SettingsFixture.VALID_TOML);
        assertEquals(12_500, settings.config().teams().get("t").cpuLimitMillis());
        assertEquals(1.5, settings.config().objectives().get("c").deadlineFactor());
        assertEquals(25_000, settings.config().maxClockOffsetMicros());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "facts.workers.lease_s | lease_s = 10.0 | lease_s = \"ten\"",
                "facts.workers.gang_wait_s | cancel_s = 30.0 | `cancel_s = 30.0\ngang_wait_s = 0.0`",
                "facts.workers.gang_peer_s | cancel_s = 30.0 | `cancel_s = 30.0\ngang_peer_s = \"5\"`",
                "facts.state.next | txn_ops = 8 | `txn_ops = 8\nnext = 3`"
            })
    void aSettingOfTheWrongKindOrRangeIsNamed(String named, String good, String bad) throws IOException {
        assertRefusedWith(named, SettingsFixture.validWith(good, bad));
    }

    /** Under these no rule could be kept, whatever the service does. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "facts.workers.cancel_s | cancel_s = 30.0 | cancel_s = 13.9",
                "facts.workers.lease_s | lease_s = 10.0 | lease_s = 1.9",
                "team t | cpus_max = 12.5 | `cpus = 13.0\ncpus_max = 12.5`",
                "team t | cpus_max = 12.5 | cpus_max = -1.0"
            })
    void impossibleTimesAndTeamsAreNamed(String named, String good, String bad) throws IOException {
        assertRefusedWith(named, SettingsFixture.validWith(good, bad));
    }

    @Test
    void tooFewConnectionsAreNamed() throws IOException {
        assertRefusedWith(
                "facts.resources.max_connections",
                SettingsFixture.VALID_TOML + "[facts.resources]\nmax_connections = 0\n");
    }

    @Test
    void leastTimesAreAccepted() throws Exception {
        Settings settings = read(SettingsFixture.validWith("cancel_s = 30.0", "cancel_s = 14.1"));
        assertTrue(settings.config().workers().maxDisconnectedMicros() >= 1_000_000);
    }

    // ---- limits of the store -----------------------------------------------------------------------------------

    private static final String NEXT_LIMITS = "write_rps = 7.5\nvalue_kb = 2.0\ntxn_ops = 5\n";

    /** The good settings with limits that the store will have later. */
    private static String withNextLimits(String limits) {
        return SettingsFixture.validWith("txn_ops = 8\n", "txn_ops = 8\n[facts.state.next]\n" + limits);
    }

    @Test
    void presentLimitsAreKept() throws Exception {
        assertEquals(
                new StoreLimits(10, 8192, 8),
                read(SettingsFixture.VALID_TOML).config().limits().store());
    }

    /** Limits that the store will have later hold from the first start, since they come without notice. */
    @Test
    void nextLimitsAreKeptFromTheStart() throws Exception {
        Settings settings = read(withNextLimits(NEXT_LIMITS));
        assertEquals(new StoreLimits(7.5, 2048, 5), settings.config().limits().store());
    }

    @Test
    void aLimitThatWillNotChangeStaysAsItIs() throws Exception {
        Settings settings = read(withNextLimits("value_kb = 4.0\n"));
        assertEquals(new StoreLimits(10, 4096, 8), settings.config().limits().store());
    }

    @ParameterizedTest
    @CsvSource({
        "txn_ops, txn_ops = 5, txn_ops = -1",
        "value_kb, value_kb = 2.0, value_kb = 0",
        "write_rps, write_rps = 7.5, write_rps = \"fast\""
    })
    void anImpossibleNextLimitIsNamed(String name, String good, String bad) throws IOException {
        assertRefusedWith("facts.state.next." + name, withNextLimits(NEXT_LIMITS.replace(good, bad)));
    }

    // ---- operators' own settings -------------------------------------------------------------------------------

    @ParameterizedTest
    @CsvSource({"idle-shar: 2,idle-shar", "patience-share: 0.4,deferral-share"})
    void anUnknownOrRenamedTuningIsNamed(String yaml, String named) throws IOException {
        String refusal =
                refusal(file("platform.toml", SettingsFixture.VALID_TOML), file("tuning.yaml", yaml + "\n"), false);
        assertTrue(refusal.contains(named), refusal);
    }

    private long recoveryHoldMicros(@Nullable Path tuning, boolean liveFirst) throws Exception {
        Path platform = file("platform.toml", SettingsFixture.VALID_TOML);
        return Settings.read(platform, tuning, liveFirst).config().tuning().recoveryHoldMicros();
    }

    @Test
    void aRecoveryHoldsNothingUnlessAskedTo() throws Exception {
        assertEquals(0, recoveryHoldMicros(null, false));
    }

    @Test
    void theHoldOfARecoveryFollowsFromTheLeases() throws Exception {
        long leaseMicros = read(SettingsFixture.VALID_TOML).config().workers().leaseMicros();
        assertEquals(leaseMicros / 4, recoveryHoldMicros(null, true));
    }

    @Test
    void operatorsNameAnotherHold() throws Exception {
        assertEquals(5_000_000, recoveryHoldMicros(file("tuning.yaml", "recovery-hold-s: 5\n"), true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "recovery-hold-s: -1\n",
                "recovery-hold-s: 61\n",
                "recovery-hold-s: soon\n",
                "recovery-hold-s: 0\n",
                "recovery-hold-s: 30\nmax-starvation-s: 20\n"
            })
    void aHoldThatContradictsTheOtherSettingsIsNamed(String yaml) throws IOException {
        String refusal = refusal(file("platform.toml", SettingsFixture.VALID_TOML), file("tuning.yaml", yaml), true);
        assertTrue(refusal.contains("recovery-hold-s"), refusal);
    }

    // ---- the program -------------------------------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {"serve --confg x", "serve", "serve --config /nonexistent", "dance"})
    void wrongUseEndsWithItsStatus(String commandLine) {
        assertEquals(Command.USAGE_ERROR, Main.execute(commandLine.split(" ")));
    }

    @Test
    void goodSettingsPassTheCheck() throws IOException {
        Path platform = file("platform.toml", SettingsFixture.VALID_TOML);
        assertEquals(Command.OK, Main.execute("check-config", "--config", platform.toString()));
    }

    /** The build does not look at how its training run ends: settings that are refused would only make starts slow. */
    @Test
    void theSettingsOfTheTrainingRunPassTheCheck() throws IOException {
        Path platform = file("platform.toml", LoopbackSettings.withItselfAsPeer(1, 2, 3));
        assertEquals(Command.OK, Main.execute("check-config", "--config", platform.toString()));
    }
}
