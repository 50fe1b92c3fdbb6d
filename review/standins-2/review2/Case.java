package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: 0 the rule held, 1 it was broken, 2 the case could not run. At most 118 seconds. */
abstract class Case {
    /** The case could not be played as described. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Plays the case; returns whether the rule held. */
    abstract boolean play(Record record, Path folder) throws Exception;

    /** Closed at the end, and also when the process is told to end. */
    private volatile AutoCloseable toClose = () -> {};

    <T extends AutoCloseable> T closing(T deployment) {
        toClose = deployment;
        return deployment;
    }

    static void require(boolean condition, String why) throws CannotRun {
        if (!condition) {
            throw new CannotRun(why);
        }
    }

    final void run(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("granitepath-review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            closeQuietly();
            delete(folder);
        }));
        int status;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(118_000);
                    record.say("could not run: took more than 118 s");
                    System.exit(2);
                } catch (InterruptedException e) {
                    // ended in time
                }
            });
            watchdog.setDaemon(true);
            watchdog.start();
            record.line("disruption: %s", TROUBLE ? "yes" : "no (TROUBLE=0)");
            try {
                status = play(record, folder) ? 0 : 1;
            } catch (CannotRun e) {
                record.say("could not run: %s", e.getMessage());
                status = 2;
            } catch (Exception e) {
                e.printStackTrace();
                record.say("could not run: %s", e);
                status = 2;
            }
            String keep = System.getenv("KEEP_LOGS");
            if (keep != null) {
                try (Stream<Path> files = Files.list(folder)) {
                    for (Path file : files.toList()) {
                        Files.copy(
                                file,
                                Path.of(keep).resolve(file.getFileName()),
                                StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
        }
        System.exit(status);
    }

    private void closeQuietly() {
        try {
            toClose.close();
        } catch (Exception e) {
            // the processes have ended, or end with this one
        }
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (Exception e) {
            // a temporary folder
        }
    }
}
