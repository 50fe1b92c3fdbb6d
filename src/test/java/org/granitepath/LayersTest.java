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
 * Checks that each package uses only packages below it, so that there are no cycles among packages, and that decision
 * code does no I/O and starts no threads. The test walks all directories below the root; a package that is not listed
 * here is an error.
 */
class LayersTest {
    private static final String ROOT_PACKAGE = "org.granitepath";
    private static final Path SOURCES = Path.of("src/main/java/org/granitepath");
    /** All packages, from the highest to the lowest: each may use only those after it. */
    private static final List<String> PACKAGES_TOP_DOWN = List.of(
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
    /** This package and all below it only make decisions: no I/O, no threads, no clock but the one passed in. */
    private static final String HIGHEST_PURE_PACKAGE = "coordination";

    private static final Pattern PROJECT_TYPE =
            Pattern.compile("org\\.granitepath((?:\\.[a-z][a-z0-9]*)+)\\.(?:[A-Z]\\w*|\\*)");
    private static final Pattern IMPURE_LINE =
            Pattern.compile("import (static )?(java\\.(io|net|nio|util\\.concurrent)|io\\.undertow|org\\.xnio)\\b.*"
                    + "|.*System\\.(nano|current).*|.*\\bnew Thread\\b.*");

    @Test
    void packagesUseOnlyLowerOnes() throws IOException {
        assertEquals(List.of(), violations(SOURCES, PACKAGES_TOP_DOWN));
    }

    /** Fails when a listed package no longer exists. The developer who adds a package decides on its place. */
    @Test
    void everyListedPackageExists() throws IOException {
        List<String> present = sourceFiles(SOURCES).stream()
                .map(file -> packageOf(SOURCES, file))
                .toList();
        assertTrue(present.containsAll(PACKAGES_TOP_DOWN), "listed packages without sources");
    }

    /** Tests the check itself: it finds each kind of violation in a source tree with subpackages. */
    @Test
    void plantedViolationsAreFound(@TempDir Path tree) throws IOException {
        List<String> order = List.of("upper", "upper.part", "lower.deep", "lower");
        writeSource(tree, "upper/Fine.java", "import org.granitepath.lower.deep.Clean;");
        writeSource(tree, "lower/deep/Up.java", "import org.granitepath.upper.part.Other;");
        writeSource(tree, "lower/deep/Static.java", "import static org.granitepath.upper.Fine.CONSTANT;");
        writeSource(tree, "lower/Sideways.java", "    private org.granitepath.lower.deep.Up field;");
        writeSource(tree, "lower/Unknown.java", "import org.granitepath.elsewhere.Thing;");
        writeSource(tree, "unlisted/part/Alien.java", "class Alien {}");
        writeSource(tree, "coordination/Clock.java", "long now = System.nanoTime();");
        List<String> orderWithPurePackage = new ArrayList<>(order);
        orderWithPurePackage.add(HIGHEST_PURE_PACKAGE);
        assertEquals(
                List.of(
                        "coordination/Clock.java: long now = System.nanoTime();",
                        "lower/Sideways.java: private org.granitepath.lower.deep.Up field;",
                        "lower/Unknown.java: import org.granitepath.elsewhere.Thing;",
                        "lower/deep/Static.java: import static org.granitepath.upper.Fine.CONSTANT;",
                        "lower/deep/Up.java: import org.granitepath.upper.part.Other;",
                        "unlisted/part/Alien.java: its package is not listed in LayersTest"),
                violations(tree, orderWithPurePackage));
    }

    private static void writeSource(Path tree, String file, String line) throws IOException {
        Path path = tree.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, line + "\n");
    }

    private static List<String> violations(Path sources, List<String> packagesTopDown) throws IOException {
        List<String> violations = new ArrayList<>();
        for (Path file : sourceFiles(sources)) {
            String name = sources.relativize(file) + ": ";
            int layer = packagesTopDown.indexOf(packageOf(sources, file));
            if (layer < 0) {
                violations.add(name + "its package is not listed in LayersTest");
                continue;
            }
            boolean pure = layer >= packagesTopDown.indexOf(HIGHEST_PURE_PACKAGE)
                    && packagesTopDown.contains(HIGHEST_PURE_PACKAGE);
            for (String line : Files.readAllLines(file)) {
                if (usesHigherPackage(line, layer, packagesTopDown)
                        || (pure && IMPURE_LINE.matcher(line).matches())) {
                    violations.add(name + line.strip());
                }
            }
        }
        return violations;
    }

    /** Whether the line names a package above this layer. An unlisted package counts as higher than all others. */
    private static boolean usesHigherPackage(String line, int layer, List<String> packagesTopDown) {
        Matcher projectTypes = PROJECT_TYPE.matcher(line);
        while (projectTypes.find()) {
            if (packagesTopDown.indexOf(projectTypes.group(1).substring(1)) < layer) {
                return true;
            }
        }
        return false;
    }

    /** The package of a source file, without the root package. */
    private static String packageOf(Path sources, Path file) {
        return sources.relativize(file.getParent()).toString().replace('/', '.');
    }

    /** All source files of the tree. The root directory itself holds none. */
    private static List<Path> sourceFiles(Path tree) throws IOException {
        try (Stream<Path> all = Files.walk(tree)) {
            return all.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }

    /** The pattern sees only names below the root package, so it has to begin with that package. */
    @Test
    void patternMatchesTheRootPackage() {
        assertTrue(PROJECT_TYPE.pattern().startsWith(ROOT_PACKAGE.replace(".", "\\.")));
    }
}
