package org.granitepath.coordination.ports;

/** One task of a job. */
public record TaskId(String job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
