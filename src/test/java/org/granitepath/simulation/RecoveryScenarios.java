package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.submitBatches;
import static org.granitepath.simulation.FaultScenarios.submitServices;

/** Scenarios in which all controllers of a busy deployment restart while the machines keep running. */
final class RecoveryScenarios {
    private static final long SECOND = Simulation.SECOND;
    /** When the controllers crash. */
    static final long RESTART_MICROS = 60 * SECOND;
    /** How long a recovery holds back batch work for services. */
    static final long RECOVERY_HOLD_MICROS = 15 * SECOND;

    private RecoveryScenarios() {}

    /** A deployment with services and half-finished batch jobs on about seventy machines. */
    static Simulation busyDeployment(long seed) {
        Simulation simulation = new Simulation(seed, 3, 10);
        simulation.recoveryHoldMicros = RECOVERY_HOLD_MICROS;
        submitServices(simulation, 6, 6);
        submitBatches(simulation, 8, 60, 20 * SECOND);
        return simulation;
    }

    /**
     * Crashes all controllers.
     *
     * @param apart whether the first one boots again after 0.2 s and the others after 25 s; otherwise each boots again
     *     within about a second
     */
    static void restartControllers(Simulation simulation, boolean apart) {
        if (apart) {
            simulation.faults.crash(simulation.nodeNames.get(0), 200_000);
            simulation.nodeNames.stream().skip(1).forEach(node -> simulation.faults.crash(node, 25 * SECOND));
        } else {
            simulation.faults.crashAll(SECOND);
        }
    }
}
