package org.granitepath.simulation;

import java.util.function.Function;
import org.granitepath.coordination.Controller;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/** The host of one controller, with successive processes, a drifting monotonic clock and an offset wall clock. */
final class SimNode {
    private final SimEnvironment environment;
    private final String name;
    private final Function<SimNode, Controller> controllerFactory;
    private final double clockRate;
    private final long clockOffsetMicros;
    /** Counts boots and crashes, so that timers of an earlier process can be recognized. */
    private int processGeneration;

    private @Nullable Controller controller;

    /** @param controllerFactory creates the controller when a process starts */
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

    /** The unique name of the current process. */
    String incarnation() {
        return name + "-" + processGeneration;
    }

    /** The controller of the current process; null while the node is down. */
    @Nullable
    Controller controller() {
        return controller;
    }

    /** Whether the node is up and its controller considers itself the leader. */
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

    /** The clocks and timers of the current process; its timers do not fire after it has ended. */
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
