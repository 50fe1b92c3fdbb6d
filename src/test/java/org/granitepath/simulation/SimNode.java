package org.granitepath.simulation;

import java.util.function.Function;
import org.granitepath.coordination.Controller;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/** Where one controller runs, one process after the other, with a clock that drifts and a time of day that is off. */
final class SimNode {
    private final SimEnvironment environment;
    private final String name;
    private final Function<SimNode, Controller> controllerFactory;
    private final double clockRate;
    private final long clockOffsetMicros;
    /** Counts starts and ends, so that a process can tell whether it is the present one. */
    private int processGeneration;

    private @Nullable Controller controller;

    /** @param controllerFactory makes the controller of a process that starts */
    SimNode(SimEnvironment environment, String name, Function<SimNode, Controller> controllerFactory) {
        this.environment = environment;
        this.name = name;
        this.controllerFactory = controllerFactory;
        this.clockRate = 1 + environment.random.nextDouble() * 0.0005;
        this.clockOffsetMicros = environment.random.nextInt(500_000) - 250_000L;
    }

    String name() {
        return name;
    }

    /** The name of the present process, which no other one has. */
    String incarnation() {
        return name + "-" + processGeneration;
    }

    /** The controller of the present process; null while the node is down. */
    @Nullable
    Controller controller() {
        return controller;
    }

    /** Whether the node is up and takes itself for the leader. */
    boolean isLeader() {
        return controller != null && controller.isLeader();
    }

    void boot() {
        processGeneration++;
        environment.setProcessDown(name, false);
        Controller booted = controllerFactory.apply(this);
        controller = booted;
        booted.start();
    }

    void crash() {
        processGeneration++;
        controller = null;
        environment.setProcessDown(name, true);
    }

    /** The clocks and timers of the present process: what it has asked for ends with it. */
    Timers timers() {
        return new ProcessTimers(processGeneration);
    }

    private final class ProcessTimers implements Timers {
        private final int generation;

        ProcessTimers(int generation) {
            this.generation = generation;
        }

        @Override
        public long nowMicros() {
            return (long) (environment.nowMicros() * clockRate) + 77;
        }

        @Override
        public long timeOfDayMicros() {
            return environment.nowMicros() + clockOffsetMicros;
        }

        @Override
        public void after(long delayMicros, Runnable action) {
            environment.after(
                    (long) (Math.max(0, delayMicros) / clockRate) + environment.random.nextInt(2_000),
                    () -> environment.runTimer(name, () -> {
                        if (processGeneration == generation && controller != null) {
                            action.run();
                        }
                    }));
        }
    }
}
