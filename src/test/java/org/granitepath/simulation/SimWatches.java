package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore;

/** The long polls that wait for changes of the simulated store. */
final class SimWatches {
    private static final class Watch {
        private final String prefix;
        private final long from;
        private final Consumer<KeyValueStore.Page> answer;
        private boolean answered;

        Watch(String prefix, long from, Consumer<KeyValueStore.Page> answer) {
            this.prefix = prefix;
            this.from = from;
            this.answer = answer;
        }
    }

    private final SimEnvironment environment;
    private final SimStoreKeys keys;
    private final List<Watch> waiting = new ArrayList<>();

    SimWatches(SimEnvironment environment, SimStoreKeys keys) {
        this.environment = environment;
        this.keys = keys;
    }

    /** Answers with the changes after a revision as soon as there are some, or with none when the wait is over. */
    void follow(String prefix, long from, long waitMicros, Consumer<KeyValueStore.Page> answer) {
        Watch watch = new Watch(prefix, from, answer);
        waiting.add(watch);
        answer(watch, waitMicros == 0);
        if (!watch.answered) {
            environment.after(waitMicros, () -> answer(watch, true));
        }
    }

    /** Keys have changed: who waits for them is answered. */
    void notifyWatches() {
        for (Watch watch : List.copyOf(waiting)) {
            answer(watch, false);
        }
    }

    private void answer(Watch watch, boolean evenEmpty) {
        if (watch.answered) {
            return;
        }
        KeyValueStore.Page page = keys.changes(watch.prefix, watch.from);
        if (evenEmpty || !page.items().isEmpty()) {
            watch.answered = true;
            waiting.remove(watch);
            watch.answer.accept(page);
        }
    }
}
