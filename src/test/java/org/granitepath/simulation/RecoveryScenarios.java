package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.submitBatches;
import static org.granitepath.simulation.FaultScenarios.submitServices;

/** A deployment at work, all of whose controllers end and come back while the machines go on. */
final class RecoveryScenarios {
    private static final long SECOND = Simulation.SECOND;
    /** When the controllers end. */
    static final long RESTART_MICROS = 60 * SECOND;
    /** For how long a recovery holds other work back for services. */
    static final long RECOVERY_HOLD_MICROS = 15 * SECOND;

    private RecoveryScenarios() {}

    /** Services and half-finished batch work on some seventy machines. */
    static Simulation busyDeployment(long seed) {
        Simulation simulation = new Simulation(seed, 3, 10);
        simulation.recoveryHoldMicros = RECOVERY_HOLD_MICROS;
        submitServices(simulation, 6, 6);
        submitBatches(simulation, 8, 60, 20 * SECOND);
        return simulation;
    }

    /** Each controller is back within a second, or one at once and the others much later. */
    static void restartControllers(Simulation simulation, boolean apart) {
        if (apart) {
            simulation.faults.crash(simulation.nodeNames.get(0), 200_000);
            simulation.nodeNames.stream().skip(1).forEach(node -> simulation.faults.crash(node, 25 * SECOND));
        } else {
            simulation.faults.crashAll(SECOND);
        }
    }
}
