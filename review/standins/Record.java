import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the start, in record.txt of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", now(), text);
        out.flush();
    }
}
