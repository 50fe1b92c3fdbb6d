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

/** Validation of the settings files and the exit status of the commands. */
class MainTest {
    @TempDir
    Path dir;

    private Path file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text);
    }

    private Settings read(String toml) throws Exception {
        return Settings.read(file("platform.toml", toml), null, false);
    }

    /** Returns the error message for invalid settings, which must be a single line. */
    private static String errorMessage(Path toml, @Nullable Path yaml, boolean liveFirst) {
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> Settings.read(toml, yaml, liveFirst));
        assertFalse(thrown.getMessage().contains("\n"), thrown.getMessage());
        return thrown.getMessage();
    }

    private void assertErrorNames(String named, String toml) throws IOException {
        String message = errorMessage(file("bad.toml", toml), null, false);
        assertTrue(message.contains(named), message);
    }

    @Test
    void validSettingsAreReadAndUnknownFieldsIgnored() throws Exception {
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
    void errorNamesASettingOfTheWrongTypeOrRange(String named, String good, String bad) throws IOException {
        assertErrorNames(named, SettingsFixture.validWith(good, bad));
    }

    /** With these settings no controller could meet the time limits or the guarantees. */
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
    void errorNamesContradictoryTimesAndTeams(String named, String good, String bad) throws IOException {
        assertErrorNames(named, SettingsFixture.validWith(good, bad));
    }

    @Test
    void errorNamesTooFewConnections() throws IOException {
        assertErrorNames(
                "facts.resources.max_connections",
                SettingsFixture.VALID_TOML + "[facts.resources]\nmax_connections = 0\n");
    }

    @Test
    void smallestValidCancellationTimeIsAccepted() throws Exception {
        Settings settings = read(SettingsFixture.validWith("cancel_s = 30.0", "cancel_s = 14.1"));
        assertTrue(settings.config().workers().maxDisconnectedMicros() >= 1_000_000);
    }

    private static final String NEXT_LIMITS = "write_rps = 7.5\nvalue_kb = 2.0\ntxn_ops = 5\n";

    /** Returns the valid settings with limits that the store will have later. */
    private static String withNextLimits(String limits) {
        return SettingsFixture.validWith("txn_ops = 8\n", "txn_ops = 8\n[facts.state.next]\n" + limits);
    }

    @Test
    void currentLimitsAreRead() throws Exception {
        assertEquals(
                new StoreLimits(10, 8192, 8),
                read(SettingsFixture.VALID_TOML).config().limits().store());
    }

    /** Later limits of the store apply from the first start, because they come into force without notice. */
    @Test
    void laterLimitsApplyFromTheStart() throws Exception {
        Settings settings = read(withNextLimits(NEXT_LIMITS));
        assertEquals(new StoreLimits(7.5, 2048, 5), settings.config().limits().store());
    }

    @Test
    void limitWithoutALaterValueKeepsItsCurrentValue() throws Exception {
        Settings settings = read(withNextLimits("value_kb = 4.0\n"));
        assertEquals(new StoreLimits(10, 4096, 8), settings.config().limits().store());
    }

    @ParameterizedTest
    @CsvSource({
        "txn_ops, txn_ops = 5, txn_ops = -1",
        "value_kb, value_kb = 2.0, value_kb = 0",
        "write_rps, write_rps = 7.5, write_rps = \"fast\""
    })
    void errorNamesAnInvalidLaterLimit(String name, String good, String bad) throws IOException {
        assertErrorNames("facts.state.next." + name, withNextLimits(NEXT_LIMITS.replace(good, bad)));
    }

    @ParameterizedTest
    @CsvSource({"idle-shar: 2,idle-shar", "patience-share: 0.4,deferral-share"})
    void errorNamesAnUnknownOrRenamedTuningSetting(String yaml, String named) throws IOException {
        String errorMessage = errorMessage(
                file("platform.toml", SettingsFixture.VALID_TOML), file("tuning.yaml", yaml + "\n"), false);
        assertTrue(errorMessage.contains(named), errorMessage);
    }

    private long recoveryHoldMicros(@Nullable Path tuning, boolean liveFirst) throws Exception {
        Path platform = file("platform.toml", SettingsFixture.VALID_TOML);
        return Settings.read(platform, tuning, liveFirst).config().tuning().recoveryHoldMicros();
    }

    @Test
    void recoveryHoldIsZeroByDefault() throws Exception {
        assertEquals(0, recoveryHoldMicros(null, false));
    }

    @Test
    void liveFirstDerivesTheRecoveryHoldFromTheLease() throws Exception {
        long leaseMicros = read(SettingsFixture.VALID_TOML).config().workers().leaseMicros();
        assertEquals(leaseMicros / 4, recoveryHoldMicros(null, true));
    }

    @Test
    void tuningFileOverridesTheRecoveryHold() throws Exception {
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
    void errorNamesAnInvalidOrContradictoryRecoveryHold(String yaml) throws IOException {
        String message =
                errorMessage(file("platform.toml", SettingsFixture.VALID_TOML), file("tuning.yaml", yaml), true);
        assertTrue(message.contains("recovery-hold-s"), message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve --confg x", "serve", "serve --config /nonexistent", "dance"})
    void wrongUseReturnsTheUsageErrorStatus(String commandLine) {
        assertEquals(Command.USAGE_ERROR, Main.execute(commandLine.split(" ")));
    }

    @Test
    void checkConfigAcceptsValidSettings() throws IOException {
        Path platform = file("platform.toml", SettingsFixture.VALID_TOML);
        assertEquals(Command.OK, Main.execute("check-config", "--config", platform.toString()));
    }

    /** The build ignores the result of its training run: with invalid settings, startup would only become slower. */
    @Test
    void checkConfigAcceptsTheSettingsOfTheTrainingRun() throws IOException {
        Path platform = file("platform.toml", LoopbackSettings.withItselfAsPeer(1, 2, 3));
        assertEquals(Command.OK, Main.execute("check-config", "--config", platform.toString()));
    }
}
