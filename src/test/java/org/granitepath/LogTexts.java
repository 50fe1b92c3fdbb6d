package org.granitepath;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The messages that the program can log, read from its sources: the formats of logging calls, the reasons that are
 * passed to methods which log them, and the names of states. A page may quote any part of a message that these form.
 */
final class LogTexts {
    /** The character that stands in a template for the value of a variable. */
    private static final char VARIABLE = '\u0000';

    /** On a page, stands for any text. */
    private static final char ANY_TEXT = '…';

    /** On a page, stands for any number. */
    private static final String ANY_NUMBER = "N";

    /** A call whose message is logged: one of the logger, or the exception that aborts the startup. */
    private static final Pattern MESSAGE_CALL =
            Pattern.compile("\\bLOG\\.(?:info|warn|error|debug)\\(|\\bnew InvalidSettingException\\(");
    /** A method with a parameter for the reason of what it logs. */
    private static final Pattern METHOD_WITH_REASON =
            Pattern.compile("\\bvoid (\\w+)\\([^)]*\\bString (?:why|reason|cause)\\b");

    private static final Pattern ENUM = Pattern.compile("\\benum \\w+[^{]*\\{([^;}]*)");
    /** An enum of reasons, each constant with its text. The state transitions that receive a constant log its text. */
    private static final Pattern REASON_ENUM = Pattern.compile("\\benum \\w*Reason[^{]*\\{([^;}]*)");

    private static final Pattern LITERAL = Pattern.compile("\"((?:\\\\.|[^\"\\\\\n])*)\"");
    private static final Pattern CONSTANT = Pattern.compile("\\b[A-Z][A-Z_0-9]+\\b");
    private static final Pattern COMMENT_OR_LITERAL = Pattern.compile(
            "(\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\\n])+')|//[^\n]*|/\\*.*?\\*/", Pattern.DOTALL);

    private final List<String> templates = new ArrayList<>();
    private final List<String> reasons = new ArrayList<>();
    private final List<String> states = new ArrayList<>();

    /** The messages of the program whose sources are below this directory. */
    static LogTexts in(Path sources) throws IOException {
        try (var files = Files.walk(sources)) {
            List<String> code = new ArrayList<>();
            for (Path file :
                    files.filter(each -> each.toString().endsWith(".java")).toList()) {
                code.add(Files.readString(file));
            }
            return of(code);
        }
    }

    /** The messages of the program that has these source files. */
    static LogTexts of(List<String> sources) {
        LogTexts texts = new LogTexts();
        List<String> code = sources.stream().map(LogTexts::withoutComments).toList();
        code.forEach(texts::addStates);
        code.forEach(texts::addReasonConstants);
        code.forEach(texts::addTemplates);
        Set<String> methods = methodsWithReason(code);
        if (!methods.isEmpty()) {
            Pattern call = Pattern.compile("\\b(?:" + String.join("|", methods) + ")\\(");
            code.forEach(file -> texts.addReasonsPassedTo(call, file));
        }
        return texts;
    }

    private void addStates(String file) {
        for (String constants : firstGroups(ENUM, file)) {
            CONSTANT.matcher(constants).results().forEach(constant -> states.add(constant.group()));
        }
    }

    private void addReasonConstants(String file) {
        firstGroups(REASON_ENUM, file).forEach(constants -> reasons.addAll(firstGroups(LITERAL, constants)));
    }

    private void addTemplates(String file) {
        for (List<String> arguments : callsOf(MESSAGE_CALL, file)) {
            alternatives(arguments.get(0)).forEach(text -> templates.add(text.replace("{}", "" + VARIABLE)));
        }
    }

    private void addReasonsPassedTo(Pattern call, String file) {
        for (List<String> arguments : callsOf(call, file)) {
            arguments.forEach(argument -> reasons.addAll(alternatives(argument)));
        }
    }

    private static Set<String> methodsWithReason(List<String> code) {
        Set<String> methods = new TreeSet<>();
        code.forEach(file -> methods.addAll(firstGroups(METHOD_WITH_REASON, file)));
        return methods;
    }

    /** The first group of each match of the pattern. */
    private static List<String> firstGroups(Pattern pattern, String code) {
        return pattern.matcher(code).results().map(result -> result.group(1)).toList();
    }

    /** Whether some message contains this text, which a page quotes. */
    boolean has(String quoted) {
        return quoted.chars().anyMatch(Character::isLetter)
                && (templates.stream().anyMatch(template -> isPartOf(quoted, template))
                        || reasons.stream().anyMatch(reason -> isPartOf(quoted, reason)));
    }

    private boolean isPartOf(String quoted, String template) {
        for (int start = 0; start < template.length(); start++) {
            if (begins(quoted, template.substring(start))) {
                return true;
            }
        }
        return false;
    }

    /** Whether a message of this template can begin with the quoted text. */
    private boolean begins(String quoted, String template) {
        if (quoted.isEmpty()) {
            return true;
        }
        if (quoted.charAt(0) == ANY_TEXT) {
            String rest = quoted.substring(1);
            return rest.isEmpty() || isPartOf(rest, template);
        }
        if (template.isEmpty()) {
            return false;
        }
        String after = template.substring(1);
        if (template.charAt(0) != VARIABLE) {
            return quoted.charAt(0) == template.charAt(0) && begins(quoted.substring(1), after);
        }
        boolean last = after.indexOf(VARIABLE) < 0;
        return (quoted.startsWith(ANY_NUMBER) && begins(quoted.substring(ANY_NUMBER.length()), after))
                || states.stream()
                        .anyMatch(state -> quoted.startsWith(state) && begins(quoted.substring(state.length()), after))
                || (last && reasons.stream().anyMatch(reason -> begins(quoted, reason + after)));
    }

    private static String withoutComments(String code) {
        return COMMENT_OR_LITERAL
                .matcher(code)
                .replaceAll(result -> result.group(1) == null ? " " : Matcher.quoteReplacement(result.group(1)));
    }

    /** The arguments of each matching call. */
    private static List<List<String>> callsOf(Pattern call, String code) {
        return call.matcher(code)
                .results()
                .map(result -> split(code.substring(result.end()), ","))
                .toList();
    }

    /** The texts that an argument can have: one for each branch of a conditional that contains a string literal. */
    private static List<String> alternatives(String argument) {
        return split(argument, "?:").stream()
                .filter(branch -> branch.contains("\""))
                .map(LogTexts::concatenated)
                .toList();
    }

    private static String concatenated(String expression) {
        StringBuilder text = new StringBuilder();
        for (String part : split(expression, "+")) {
            boolean literal = part.startsWith("\"") && part.endsWith("\"");
            text.append(literal ? part.substring(1, part.length() - 1).translateEscapes() : "" + VARIABLE);
        }
        return text.toString();
    }

    /** The parts of an expression between these separators, up to the closing bracket of the enclosing expression. */
    private static List<String> split(String expression, String separators) {
        List<String> parts = new ArrayList<>();
        int depth = 0;
        int start = 0;
        int at = 0;
        for (; at < expression.length() && depth >= 0; at++) {
            char character = expression.charAt(at);
            if (character == '"' || character == '\'') {
                at = endOfLiteral(expression, at);
            } else if ("([{".indexOf(character) >= 0) {
                depth++;
            } else if (")]}".indexOf(character) >= 0) {
                depth--;
            } else if (depth == 0 && separators.indexOf(character) >= 0) {
                parts.add(expression.substring(start, at).strip());
                start = at + 1;
            }
        }
        parts.add(expression.substring(start, depth < 0 ? at - 1 : at).strip());
        return parts;
    }

    private static int endOfLiteral(String code, int start) {
        int at = start + 1;
        while (code.charAt(at) != code.charAt(start)) {
            at += code.charAt(at) == '\\' ? 2 : 1;
        }
        return at;
    }
}
