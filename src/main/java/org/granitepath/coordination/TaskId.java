package org.granitepath.coordination;

/** One task of a job. */
public record TaskId(String job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
