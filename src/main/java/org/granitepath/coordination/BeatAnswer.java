package org.granitepath.coordination;

import java.util.List;

/** What a worker is told: commands, another controller to report to, or to try elsewhere. */
public sealed interface BeatAnswer {
    record Accepted(long baton, List<Order> orders) implements BeatAnswer {}

    /** {@code node} null: not here, and the owner is not known. */
    record Elsewhere(String node) implements BeatAnswer {}

    record Unavailable() implements BeatAnswer {}
}
