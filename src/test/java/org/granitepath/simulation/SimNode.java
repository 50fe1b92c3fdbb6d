package org.granitepath.simulation;

import java.util.function.Function;
import org.granitepath.coordination.Controller;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/** Where one controller runs, one process after the other, with a clock that drifts and a time of day that is off. */
final class SimNode {
    private final SimEnvironment environment;
    private final String name;
    private final Function<SimNode, Controller> newController;
    private final double drift;
    private final long skewMicros;
    /** Counts starts and ends, so that a process can tell whether it is the present one. */
    private int life;

    private @Nullable Controller controller;

    /** @param newController makes the controller of a process that starts */
    SimNode(SimEnvironment environment, String name, Function<SimNode, Controller> newController) {
        this.environment = environment;
        this.name = name;
        this.newController = newController;
        this.drift = 1 + environment.random.nextDouble() * 0.0005;
        this.skewMicros = environment.random.nextInt(500_000) - 250_000L;
    }

    String name() {
        return name;
    }

    /** The name of the present process, which no other one has. */
    String incarnation() {
        return name + "-" + life;
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
        life++;
        environment.setProcessDown(name, false);
        Controller started = newController.apply(this);
        controller = started;
        started.start();
    }

    void crash() {
        life++;
        controller = null;
        environment.setProcessDown(name, true);
    }

    /** The clocks and timers of the present process: what it has asked for ends with it. */
    Timers timers() {
        return new ProcessTimers(life);
    }

    private final class ProcessTimers implements Timers {
        private final int process;

        ProcessTimers(int process) {
            this.process = process;
        }

        @Override
        public long nowMicros() {
            return (long) (environment.nowMicros() * drift) + 77;
        }

        @Override
        public long timeOfDayMicros() {
            return environment.nowMicros() + skewMicros;
        }

        @Override
        public void after(long delayMicros, Runnable action) {
            environment.after(
                    (long) (Math.max(0, delayMicros) / drift) + environment.random.nextInt(2_000),
                    () -> environment.runTimer(name, () -> {
                        if (life == process && controller != null) {
                            action.run();
                        }
                    }));
        }
    }
}
