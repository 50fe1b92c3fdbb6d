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
 * Every class, method and constant that the pages name in backticks is one of the sources, so a renaming that forgets a
 * page fails the build. Checked are names in the form of Java's: {@code ClassName}, {@code ClassName.member}, a package
 * before the class, {@code methodName}, {@code CONSTANT_NAME}, and the classes of {@code -Dtest=}.
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

    /** Words in the form of Java's names that are none of these sources. */
    private static final Set<String> OUTSIDE_NAMES = Set.of(
            // of JSpecify and of the JDK
            "Nullable",
            "Objects.requireNonNull",
            // how names end
            "Micros",
            // a word of a log line, a variable of the environment, a directory in an example
            "LATE",
            "LOG_LEVEL",
            "SDK");

    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");
    private static final Pattern TESTS_TO_RUN = Pattern.compile("-Dtest='?([\\w,]+)");
    /** A package or nothing, a class, and members or nested types of it. */
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
            checked += namesOf(text).size();
            unknown.addAll(unknownNames(page, text, sources));
        }
        assertTrue(checked >= 300, "the pages name only " + checked + " classes, methods and constants");
        assertEquals("", String.join("\n", unknown), "named on a page, but in no source file:");
    }

    /** The check itself: each kind of name that no source has is found, and nothing else is. */
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

    /** A name that no page has any longer, or that the sources have after all, is not left on the list. */
    @Test
    void everyExternalNameIsNeeded() throws IOException {
        SourceNames sources = SourceNames.in(SOURCES);
        Set<String> onPages = Stream.of(PAGES.toArray(String[]::new))
                .flatMap(page -> namesOf(read(page)).stream())
                .map(named -> named.name().replace("@", ""))
                .collect(Collectors.toSet());
        assertEquals(
                List.of(),
                OUTSIDE_NAMES.stream()
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

    /** A name on a page, in the form of Java's. */
    private record NameOnPage(int line, String name) {}

    private static List<NameOnPage> namesOf(String text) {
        List<NameOnPage> names = new ArrayList<>();
        List<String> lines = text.lines().toList();
        for (int at = 0; at < lines.size(); at++) {
            int line = at + 1;
            QUOTED.matcher(lines.get(at))
                    .results()
                    .map(result -> result.group(1))
                    .filter(DocumentedClassesTest::looksLikeJava)
                    .forEach(name -> names.add(new NameOnPage(line, name)));
            TESTS_TO_RUN
                    .matcher(lines.get(at))
                    .results()
                    .flatMap(result -> Stream.of(result.group(1).split(",")))
                    .forEach(name -> names.add(new NameOnPage(line, name)));
        }
        return names;
    }

    private static boolean looksLikeJava(String quoted) {
        return Stream.of(CLASS_NAME, CONSTANT_NAME, METHOD_NAME)
                .anyMatch(form -> form.matcher(quoted).matches());
    }

    private static List<String> unknownNames(String page, String text, SourceNames sources) {
        return namesOf(text).stream()
                .filter(named -> !OUTSIDE_NAMES.contains(named.name().replace("@", "")))
                .filter(named -> !sources.has(named.name()))
                .map(named -> page + ":" + named.line() + ": " + named.name())
                .toList();
    }

    /** The names of the sources; those in comments and texts do not count. */
    private static final class SourceNames {
        private static final Pattern COMMENT_OR_TEXT = Pattern.compile(
                "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\\n])+'|//[^\n]*|/\\*.*?\\*/",
                Pattern.DOTALL);
        private static final Pattern TYPE = Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");
        private static final Pattern WORD = Pattern.compile("\\b[A-Za-z]\\w*");

        /** The words of each source file, by its path below the root of the sources. */
        private final Map<String, Set<String>> words = new HashMap<>();
        /** The files that declare a type of this name. */
        private final Map<String, List<String>> filesOfTypes = new HashMap<>();

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
                String code = COMMENT_OR_TEXT.matcher(text).replaceAll(" ");
                names.words.put(
                        file,
                        WORD.matcher(code)
                                .results()
                                .map(result -> result.group())
                                .collect(Collectors.toSet()));
                TYPE.matcher(code)
                        .results()
                        .forEach(result -> names.filesOfTypes
                                .computeIfAbsent(result.group(1), type -> new ArrayList<>())
                                .add(file));
            });
            return names;
        }

        /** Whether a type of that name, its members, or otherwise a word of any file, is in the sources. */
        boolean has(String name) {
            Matcher ofClass = CLASS_NAME.matcher(name);
            if (ofClass.matches()) {
                List<String> members = Stream.of(ofClass.group(3).split("\\."))
                        .filter(member -> !member.isEmpty())
                        .toList();
                return filesOfTypes.getOrDefault(ofClass.group(2), List.of()).stream()
                        .filter(file -> isInPackage(file, ofClass.group(1)))
                        .anyMatch(file -> words.get(file).containsAll(members));
            }
            Matcher ofMethod = METHOD_NAME.matcher(name);
            String word = ofMethod.matches() ? ofMethod.group(1) : name;
            return words.values().stream().anyMatch(ofFile -> ofFile.contains(word));
        }

        /** Whether the file's package ends with that part, which is empty or ends with a dot. */
        private static boolean isInPackage(String file, String part) {
            String ofFile = "/" + file.substring(0, file.lastIndexOf('/') + 1);
            return ofFile.endsWith("/" + part.replace('.', '/'));
        }
    }
}
