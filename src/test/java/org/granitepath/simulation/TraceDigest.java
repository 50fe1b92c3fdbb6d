package org.granitepath.simulation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Prints a digest of everything that leaves the controllers (see {@link EdgeTrace}) for each scenario and seed. Equal
 * digests before and after a change of the code show that it keeps the external behaviour. The scenarios are those of
 * the tests, including their assertions. The class name does not match the test patterns of the build, so run it with
 * {@code mvn -B test -Dtest=TraceDigest}.
 */
class TraceDigest {
    private record Scenario(String name, LongConsumer run, List<Long> seeds) {
        Scenario(String name, LongConsumer run, long... seeds) {
            this(name, run, LongStream.of(seeds).boxed().toList());
        }
    }

    @TestFactory
    Stream<DynamicTest> digests() {
        return Stream.of(faults(), gangsAndGuarantees(), leaderChanges(), fleets())
                .flatMap(List::stream)
                .flatMap(scenario -> scenario.seeds.stream()
                        .map(seed -> DynamicTest.dynamicTest(scenario.name + " " + seed, () -> print(scenario, seed))));
    }

    private static void print(Scenario scenario, long seed) {
        List<EdgeTrace> traces = EdgeTrace.collect(() -> scenario.run.accept(seed));
        StringBuilder digests = new StringBuilder();
        long events = 0;
        for (EdgeTrace trace : traces) {
            events += trace.eventCount();
            digests.append(trace.digest());
        }
        System.out.printf(
                Locale.ROOT,
                "trace digest: %-42s seed %3d %8d events %s%n",
                scenario.name,
                seed,
                events,
                Hashing.sha256()
                        .hashString(digests, StandardCharsets.US_ASCII)
                        .toString()
                        .substring(0, 24));
    }

    private static List<Scenario> faults() {
        SimulationTest simulation = new SimulationTest();
        CombinedFaultsTest combined = new CombinedFaultsTest();
        DelayedMessagesTest delayed = new DelayedMessagesTest();
        CancellationFaultsTest cancellation = new CancellationFaultsTest();
        return List.of(
                new Scenario("any troubles together", simulation::rulesHoldUnderRandomFaults, 0, 1, 2, 3, 4, 129, 553),
                new Scenario(
                        "any two troubles meet",
                        new RandomFaultPairsTest()::rulesHoldUnderAnyTwoFaults,
                        0,
                        1,
                        2,
                        3,
                        4,
                        5),
                new Scenario("faulty machines", new FaultyMachinesTest()::faultyMachinesAreDetectedAfterFewFailures, 1),
                new Scenario("faulty jobs", new FaultyMachinesTest()::jobsThatFailEverywhereCostNoMachines, 11),
                new Scenario("overload over slow links", combined::noKindOfJobStarvesUnderOverloadOverSlowLinks, 1),
                new Scenario(
                        "one-zone jobs lose machines", combined::oneZoneJobsStayInTheirZoneWhenTheyLoseMachines, 1, 2),
                new Scenario(
                        "zone cut off for long", cancellation::cancelledTasksEndInZoneCutOffForLongerThanALease, 1, 2),
                new Scenario("team at its limit", combined::teamStaysWithinItsLimitWhenTheLeaderChanges, 1, 2),
                new Scenario("writes carried out late", delayed::lateTransactionsDoNotOverwriteNewerOnes, 1, 2),
                new Scenario(
                        "heartbeats of before", delayed::heartbeatsSentBeforeTakeoverProveNothingToTheNewLeader, 1, 2),
                new Scenario("commands held up", delayed::delayedCommandsToHangingMachinesStartNothingTwice, 1),
                new Scenario("starts held up", delayed::answersToLaterCallsAreNotTakenForAnswersToDelayedStarts, 1),
                new Scenario("cancelled at the end", cancellation::jobsCancelledAsTheyCompleteHaveOneOutcome, 1),
                new Scenario(
                        "cancelled through the new leader",
                        cancellation::tasksOfReplacedLeaderEndWhenNewLeaderCancelsThem,
                        1,
                        2),
                new Scenario("cancelled on hanging machines", cancellation::cancelledTasksEndOnHangingMachines, 1));
    }

    private static List<Scenario> gangsAndGuarantees() {
        GangTest gangs = new GangTest();
        GuaranteeTest guarantees = new GuaranteeTest();
        return List.of(
                new Scenario("gangs start whole", gangs::gangsStartWholeAndFinish, 1, 2, 3),
                new Scenario("gang task lost early", gangs::taskLostBeforeTheStartIsReplacedInTheSameAttempt, 1),
                new Scenario("gang task lost late", gangs::taskLostWhileRunningEndsTheAttempt, 1),
                new Scenario("gang checkpoints", gangs::allTasksSaveWhenOneMachineIsPreempted, 1),
                new Scenario(
                        "gang across a failover",
                        gangs::takeoverWithUnresponsiveMachineStartsNoConcurrentAttempt,
                        1,
                        2),
                new Scenario("gang beside small work", gangs::gangIsNotStarvedBySmallJobs, 1),
                new Scenario("borrowed capacity", guarantees::borrowedCapacityIsReclaimed, 1, 2),
                new Scenario("borrowed capacity, bounded", guarantees::teamsGiveBackNoMoreThanTheyBorrowed, 1),
                new Scenario("a swarm of jobs", guarantees::manyJobsOfOneTeamDoNotStarveGuaranteedWork, 1),
                new Scenario("urgent beside full price", guarantees::urgentWorkUsesIdleFullPriceCapacity, 1));
    }

    private static List<Scenario> leaderChanges() {
        TakeoverTest takeover = new TakeoverTest();
        RecoveryTest recovery = new RecoveryTest();
        RecoveryFaultsTest recoveryFaults = new RecoveryFaultsTest();
        UpgradeTest upgrade = new UpgradeTest();
        return List.of(
                new Scenario(
                        "leaders crash during takeover", takeover::workCompletesWhenLeadersCrashDuringTakeover, 5, 6),
                new Scenario("leader cut from workers", takeover::leaderCutOffFromItsWorkersStepsDown, 41, 42),
                new Scenario(
                        "back within a second", takeover::workCompletesAfterRestartsWithinAFractionOfASecond, 51, 52),
                new Scenario("cold restart", new RecoveryOrderTest()::servicesResumeBeforeBatchWork, 1, 2),
                new Scenario("cold restart, forbidden work", recovery::forbiddenTasksAreStoppedAndCleared, 1),
                new Scenario("cold restart, gangs", recovery::gangsWithUnresponsiveMachinesEndAndStartWhole, 1),
                new Scenario(
                        "cold restart, store away",
                        recoveryFaults::workCompletesWhenStoreIsDownOrSlowDuringRestart,
                        1,
                        2),
                new Scenario(
                        "upgrade and new limits", upgrade::workCompletesWhileBothVersionsServeAndLimitsChange, 1, 2),
                new Scenario("large values of before", upgrade::largeValuesOfTheFormerVersionAreSplit, 1));
    }

    private static List<Scenario> fleets() {
        CapacityTest capacity = new CapacityTest();
        LargeFleetTest fleet = new LargeFleetTest();
        return List.of(
                new Scenario("hundreds of machines", capacity::workCompletesWhenLeadersOfHundredsOfMachinesCrash, 61),
                new Scenario("overload", capacity::noKindOfJobStarvesUnderOverload, 71),
                new Scenario("headroom for services", seed -> capacity.arrivingServicesFindHeadroom(), 0),
                new Scenario("late boots", capacity::machinesThatNeverBootAreReplacedEarly, 77),
                new Scenario(
                        "seven hundred machines",
                        seed -> fleet.rulesHoldWithSevenHundredMachinesAndFrequentHeartbeats(),
                        0),
                new Scenario("four thousand machines", seed -> fleet.fourThousandMachinesRecoverAfterColdRestart(), 0));
    }
}
