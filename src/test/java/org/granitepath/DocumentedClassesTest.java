package org.granitepath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that every class, method and constant that the documentation pages name in backticks exists in the sources, so
 * that a rename which leaves out a page fails the build. It checks names in the form that Java's names have:
 * {@code ClassName}, {@code ClassName.member}, a package before the class, {@code methodName}, {@code CONSTANT_NAME},
 * and the classes listed after {@code -Dtest=}.
 */
class DocumentedClassesTest {
    private static final List<String> PAGES = List.of(
            "README.md",
            "CONTRIBUTING.md",
            "docs/architecture.md",
            "docs/design.md",
            "docs/operations.md",
            "docs/recovery.md",
            "docs/failure-modes.md");
    private static final List<Path> SOURCES = List.of(Path.of("src/main/java"), Path.of("src/test/java"));

    /** Words on the pages that have the form of Java's names, but that these sources do not declare. */
    private static final Set<String> EXTERNAL_NAMES = Set.of(
            // names of JSpecify and of the JDK
            "Nullable",
            "Objects.requireNonNull",
            // a word of a log line, an environment variable, a directory in an example
            "LATE",
            "LOG_LEVEL",
            "SDK");

    private static final Pattern IN_BACKTICKS = Pattern.compile("`([^`]+)`");
    private static final Pattern TESTS_TO_RUN = Pattern.compile("-Dtest='?([\\w,]+)");
    /** An optional package, a class, and optional members or nested types of the class. */
    private static final Pattern CLASS_NAME =
            Pattern.compile("@?((?:[a-z][a-z0-9]*\\.)*)([A-Z]\\w*[a-z]\\w*)((?:\\.\\w+)*)(?:\\(.*\\))?");

    private static final Pattern CONSTANT_NAME = Pattern.compile("[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)*");
    private static final Pattern METHOD_NAME = Pattern.compile("([a-z][a-z0-9]*[A-Z]\\w*)(?:\\(.*\\))?");

    @Test
    void everyNameOnThePagesIsInTheSources() throws IOException {
        SourceNames sources = SourceNames.in(SOURCES);
        List<String> unknown = new ArrayList<>();
        int checked = 0;
        for (String page : PAGES) {
            String text = Files.readString(Path.of(page));
            checked += namesOn(text).size();
            unknown.addAll(unknownNames(page, text, sources));
        }
        assertTrue(checked >= 300, "the pages name only " + checked + " classes, methods and constants");
        assertEquals("", String.join("\n", unknown), "named on a page, but not found in any source file:");
    }

    /** Tests the check itself: it finds each kind of name that no source has, and nothing else. */
    @Test
    void unknownNamesAreFound() {
        SourceNames sources = SourceNames.of(Map.of(
                "org/granitepath/storage/WriteQueue.java",
                """
                /** Not like OldQueue, whose former() did less. */
                final class WriteQueue {
                    static final int MAX_CHANGES = 20;
                    enum State { OPEN, CLOSED }
                    void submit(String key) {
                        LOG.info("GONE, says vanishedMethod");
                    }
                }
                """,
                "org/granitepath/storage/Keys.java",
                "class Keys { void leaderKey() {} }"));
        String page = """
                `WriteQueue`, `storage.WriteQueue`, `org.granitepath.storage.WriteQueue.submit` and `submit`,
                `WriteQueue.State`, `WriteQueue.State.OPEN`, `CLOSED`, `MAX_CHANGES`, `Keys.leaderKey()`, `leaderKey`,
                `g/j/ID`, `Retry-After`, `lease_s`, `POST /submissions`, `@Nullable`, `a text`, OldQueue.
                `OldQueue` and `WriteQueue.former`; `transport.WriteQueue`, `WriteQueue.leaderKey`,
                | `GONE` | `vanishedMethod` | `WriteQueue.Phase` | `WriteQueue.State.GONE` |
                    mvn test -Dtest=Keys,OldQueue
                """;
        assertEquals(
                List.of(
                        "page.md:4: OldQueue",
                        "page.md:4: WriteQueue.former",
                        "page.md:4: transport.WriteQueue",
                        "page.md:4: WriteQueue.leaderKey",
                        "page.md:5: GONE",
                        "page.md:5: vanishedMethod",
                        "page.md:5: WriteQueue.Phase",
                        "page.md:5: WriteQueue.State.GONE",
                        "page.md:6: OldQueue"),
                unknownNames("page.md", page, sources));
    }

    /** Fails when a listed external name no longer stands on any page, or has become a name of the sources. */
    @Test
    void everyExternalNameIsNeeded() throws IOException {
        SourceNames sources = SourceNames.in(SOURCES);
        Set<String> onPages = Stream.of(PAGES.toArray(String[]::new))
                .flatMap(page -> namesOn(read(page)).stream())
                .map(named -> named.name().replace("@", ""))
                .collect(Collectors.toSet());
        assertEquals(
                List.of(),
                EXTERNAL_NAMES.stream()
                        .filter(name -> !onPages.contains(name) || sources.has(name))
                        .sorted()
                        .toList());
    }

    private static String read(String page) {
        try {
            return Files.readString(Path.of(page));
        } catch (IOException e) {
            throw new IllegalStateException(page, e);
        }
    }

    /** A name on a page that has the form of a Java name, with its line number. */
    private record NameOnPage(int line, String name) {}

    private static List<NameOnPage> namesOn(String text) {
        List<NameOnPage> names = new ArrayList<>();
        List<String> lines = text.lines().toList();
        for (int at = 0; at < lines.size(); at++) {
            int line = at + 1;
            IN_BACKTICKS
                    .matcher(lines.get(at))
                    .results()
                    .map(result -> result.group(1))
                    .filter(DocumentedClassesTest::looksLikeJavaName)
                    .forEach(name -> names.add(new NameOnPage(line, name)));
            TESTS_TO_RUN
                    .matcher(lines.get(at))
                    .results()
                    .flatMap(result -> Stream.of(result.group(1).split(",")))
                    .forEach(name -> names.add(new NameOnPage(line, name)));
        }
        return names;
    }

    private static boolean looksLikeJavaName(String quoted) {
        return Stream.of(CLASS_NAME, CONSTANT_NAME, METHOD_NAME)
                .anyMatch(form -> form.matcher(quoted).matches());
    }

    private static List<String> unknownNames(String page, String text, SourceNames sources) {
        return namesOn(text).stream()
                .filter(named -> !EXTERNAL_NAMES.contains(named.name().replace("@", "")))
                .filter(named -> !sources.has(named.name()))
                .map(named -> page + ":" + named.line() + ": " + named.name())
                .toList();
    }

    /** The names that the sources contain, other than in comments and string literals. */
    private static final class SourceNames {
        private static final Pattern COMMENT_OR_LITERAL = Pattern.compile(
                "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\\n])+'|//[^\n]*|/\\*.*?\\*/",
                Pattern.DOTALL);
        private static final Pattern TYPE = Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");
        private static final Pattern WORD = Pattern.compile("\\b[A-Za-z]\\w*");

        /** The words of each source file, by the file's path below its source root. */
        private final Map<String, Set<String>> wordsByFile = new HashMap<>();
        /** The files that declare a type, by the type's simple name. */
        private final Map<String, List<String>> filesByType = new HashMap<>();

        static SourceNames in(List<Path> roots) throws IOException {
            Map<String, String> sources = new HashMap<>();
            for (Path root : roots) {
                try (Stream<Path> files = Files.walk(root)) {
                    for (Path file : files.filter(each -> each.toString().endsWith(".java"))
                            .toList()) {
                        sources.put(root.relativize(file).toString(), Files.readString(file));
                    }
                }
            }
            return of(sources);
        }

        static SourceNames of(Map<String, String> sources) {
            SourceNames names = new SourceNames();
            sources.forEach((file, text) -> {
                String code = COMMENT_OR_LITERAL.matcher(text).replaceAll(" ");
                names.wordsByFile.put(
                        file,
                        WORD.matcher(code)
                                .results()
                                .map(result -> result.group())
                                .collect(Collectors.toSet()));
                TYPE.matcher(code)
                        .results()
                        .forEach(result -> names.filesByType
                                .computeIfAbsent(result.group(1), type -> new ArrayList<>())
                                .add(file));
            });
            return names;
        }

        /** Whether the sources have the named type with its members or, for any other name, a file with that word. */
        boolean has(String name) {
            Matcher classMatcher = CLASS_NAME.matcher(name);
            if (classMatcher.matches()) {
                List<String> members = Stream.of(classMatcher.group(3).split("\\."))
                        .filter(member -> !member.isEmpty())
                        .toList();
                return filesByType.getOrDefault(classMatcher.group(2), List.of()).stream()
                        .filter(file -> isInPackage(file, classMatcher.group(1)))
                        .anyMatch(file -> wordsByFile.get(file).containsAll(members));
            }
            Matcher methodMatcher = METHOD_NAME.matcher(name);
            String word = methodMatcher.matches() ? methodMatcher.group(1) : name;
            return wordsByFile.values().stream().anyMatch(fileWords -> fileWords.contains(word));
        }

        /** Whether the file's package ends with this suffix, which is empty or ends with a dot. */
        private static boolean isInPackage(String file, String packageSuffix) {
            String directory = "/" + file.substring(0, file.lastIndexOf('/') + 1);
            return directory.endsWith("/" + packageSuffix.replace('.', '/'));
        }
    }
}
