package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, each line with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized long line(String format, Object... values) {
        long now = nowMillis();
        out.printf("%8d  %s%n", now, String.format(Locale.ROOT, format, values));
        return now;
    }

    /** A line that is also printed to standard output. */
    void say(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        System.out.println(text);
        line("%s", text);
    }

    @Override
    public void close() {
        out.close();
    }
}
