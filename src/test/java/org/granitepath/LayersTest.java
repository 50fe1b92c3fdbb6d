package org.granitepath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A package uses only those below it, so there are no circles among packages, and decision code does neither I/O nor
 * threads. All folders below the root are walked; one that is not listed here is an error.
 */
class LayersTest {
    private static final String ROOT_PACKAGE = "org.granitepath";
    private static final Path SOURCES = Path.of("src/main/java/org/granitepath");
    /** All packages, each above those that it may use. */
    private static final List<String> DOWNWARDS = List.of(
            "cli",
            "transport",
            "protocol",
            "coordination",
            "coordination.term",
            "coordination.autoscaling",
            "coordination.scheduling",
            "coordination.gang",
            "coordination.placement",
            "coordination.fleet",
            "coordination.jobs",
            "coordination.model",
            "coordination.admission",
            "coordination.leadership",
            "coordination.ports",
            "coordination.config",
            "recovery",
            "storage");
    /** This package and all below it decide only: no I/O, no threads, no clock but the one handed in. */
    private static final String FIRST_PURE = "coordination";

    private static final Pattern OURS =
            Pattern.compile("org\\.granitepath((?:\\.[a-z][a-z0-9]*)+)\\.(?:[A-Z]\\w*|\\*)");
    private static final Pattern IMPURE =
            Pattern.compile("import (static )?(java\\.(io|net|nio|util\\.concurrent)|io\\.undertow|org\\.xnio)\\b.*"
                    + "|.*System\\.(nano|current).*|.*\\bnew Thread\\b.*");

    @Test
    void packagesUseOnlyLowerOnes() throws IOException {
        assertEquals(List.of(), breaches(SOURCES, DOWNWARDS));
    }

    /** Whoever adds a package decides where it stands; one that is gone is not left in the list. */
    @Test
    void everyListedPackageExists() throws IOException {
        List<String> present =
                files(SOURCES).stream().map(file -> packageOf(SOURCES, file)).toList();
        assertTrue(present.containsAll(DOWNWARDS), "listed packages without sources");
    }

    /** The check itself: each kind of breach, planted in a tree with subpackages, is found. */
    @Test
    void plantedViolationsAreFound(@TempDir Path tree) throws IOException {
        List<String> order = List.of("upper", "upper.part", "lower.deep", "lower");
        plant(tree, "upper/Fine.java", "import org.granitepath.lower.deep.Clean;");
        plant(tree, "lower/deep/Up.java", "import org.granitepath.upper.part.Other;");
        plant(tree, "lower/deep/Static.java", "import static org.granitepath.upper.Fine.CONSTANT;");
        plant(tree, "lower/Sideways.java", "    private org.granitepath.lower.deep.Up field;");
        plant(tree, "lower/Unknown.java", "import org.granitepath.elsewhere.Thing;");
        plant(tree, "unlisted/part/Alien.java", "class Alien {}");
        plant(tree, "coordination/Clock.java", "long now = System.nanoTime();");
        List<String> withPure = new ArrayList<>(order);
        withPure.add(FIRST_PURE);
        assertEquals(
                List.of(
                        "coordination/Clock.java: long now = System.nanoTime();",
                        "lower/Sideways.java: private org.granitepath.lower.deep.Up field;",
                        "lower/Unknown.java: import org.granitepath.elsewhere.Thing;",
                        "lower/deep/Static.java: import static org.granitepath.upper.Fine.CONSTANT;",
                        "lower/deep/Up.java: import org.granitepath.upper.part.Other;",
                        "unlisted/part/Alien.java: its package is not listed in LayersTest"),
                breaches(tree, withPure));
    }

    private static void plant(Path tree, String file, String line) throws IOException {
        Path path = tree.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, line + "\n");
    }

    private static List<String> breaches(Path sources, List<String> downwards) throws IOException {
        List<String> breaches = new ArrayList<>();
        for (Path file : files(sources)) {
            String name = sources.relativize(file) + ": ";
            int layer = downwards.indexOf(packageOf(sources, file));
            if (layer < 0) {
                breaches.add(name + "its package is not listed in LayersTest");
                continue;
            }
            boolean pure = layer >= downwards.indexOf(FIRST_PURE) && downwards.contains(FIRST_PURE);
            for (String line : Files.readAllLines(file)) {
                if (usesHigher(line, layer, downwards)
                        || (pure && IMPURE.matcher(line).matches())) {
                    breaches.add(name + line.strip());
                }
            }
        }
        return breaches;
    }

    /** A package that is not listed counts as higher than all others. */
    private static boolean usesHigher(String line, int layer, List<String> downwards) {
        Matcher names = OURS.matcher(line);
        while (names.find()) {
            if (downwards.indexOf(names.group(1).substring(1)) < layer) {
                return true;
            }
        }
        return false;
    }

    /** The package of a source file, without the part that all share. */
    private static String packageOf(Path sources, Path file) {
        return sources.relativize(file.getParent()).toString().replace('/', '.');
    }

    /** All source files of the tree; the root holds none. */
    private static List<Path> files(Path tree) throws IOException {
        try (Stream<Path> all = Files.walk(tree)) {
            return all.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }

    /** Only what is written as a name of the root package is seen, so every import must be. */
    @Test
    void patternMatchesTheRootPackage() {
        assertTrue(OURS.pattern().startsWith(ROOT_PACKAGE.replace(".", "\\.")));
    }
}
