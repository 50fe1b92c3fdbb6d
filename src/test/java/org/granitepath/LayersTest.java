package org.granitepath;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** A package uses only those below it, and decision code does neither I/O nor threads. */
class LayersTest {
    private static final List<String> DOWNWARDS =
            List.of("cli", "transport", "protocol", "coordination", "recovery", "bookkeeping");
    private static final Pattern OURS = Pattern.compile("org\\.granitepath\\.([a-z]+)\\.");
    private static final Pattern IMPURE = Pattern.compile(
            "import (java\\.(io|net|nio|util\\.concurrent)|io\\.undertow|org\\.xnio)\\b.*|.*System\\.(nano|current).*");

    @Test
    void packagesUseOnlyLowerOnes() throws IOException {
        List<String> breaches = new ArrayList<>();
        for (int layer = 0; layer < DOWNWARDS.size(); layer++) {
            Path dir = Path.of("src/main/java/org/granitepath", DOWNWARDS.get(layer));
            for (Path file : files(dir)) {
                for (String line : Files.readAllLines(file)) {
                    Matcher m = OURS.matcher(line);
                    while (m.find()) {
                        if (DOWNWARDS.indexOf(m.group(1)) < layer) {
                            breaches.add(file.getFileName() + ": " + line.strip());
                        }
                    }
                    if (layer >= DOWNWARDS.indexOf("coordination")
                            && IMPURE.matcher(line).matches()) {
                        breaches.add(file.getFileName() + ": " + line.strip());
                    }
                }
            }
        }
        assertEquals(List.of(), breaches);
    }

    private static List<Path> files(Path dir) throws IOException {
        try (Stream<Path> all = Files.list(dir)) {
            return all.filter(f -> f.toString().endsWith(".java")).sorted().toList();
        }
    }
}
