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
 * What the program can log, read from its sources: the formats of logging calls, the reasons that methods are told for
 * what they log, and the names of states. A page may quote any part of what these make up.
 */
final class LogTexts {
    /** Stands in a template for whatever a variable holds. */
    private static final char VARIABLE = '\u0000';

    private static final char ANY_TEXT = '…';
    /** On the page, any number. */
    private static final String ANY_NUMBER = "N";

    /** A call whose message comes out: of the logger, or the error that ends the start. */
    private static final Pattern MESSAGE =
            Pattern.compile("\\bLOG\\.(?:info|warn|error|debug)\\(|\\bnew InvalidSettingException\\(");
    /** A method that is told the reason for what it logs. */
    private static final Pattern TAKES_REASON =
            Pattern.compile("\\bvoid (\\w+)\\([^)]*\\bString (?:why|reason|cause)\\b");

    private static final Pattern ENUM = Pattern.compile("\\benum \\w+[^{]*\\{([^;}]*)");
    /** Reasons that are constants, each with its text: the transitions that they are given to log it. */
    private static final Pattern REASON_ENUM = Pattern.compile("\\benum \\w*Reason[^{]*\\{([^;}]*)");

    private static final Pattern TEXT = Pattern.compile("\"((?:\\\\.|[^\"\\\\\n])*)\"");
    private static final Pattern CONSTANT = Pattern.compile("\\b[A-Z][A-Z_0-9]+\\b");
    private static final Pattern COMMENT_OR_TEXT = Pattern.compile(
            "(\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\\n])+')|//[^\n]*|/\\*.*?\\*/", Pattern.DOTALL);

    private final List<String> templates = new ArrayList<>();
    private final List<String> reasons = new ArrayList<>();
    private final List<String> states = new ArrayList<>();

    /** What can be logged by the program whose sources are below this folder. */
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

    /** What can be logged by the program that has these source files. */
    static LogTexts of(List<String> sources) {
        LogTexts texts = new LogTexts();
        List<String> code = sources.stream().map(LogTexts::withoutComments).toList();
        code.forEach(texts::addStates);
        code.forEach(texts::addReasonConstants);
        code.forEach(texts::addTemplates);
        Set<String> methods = methodsThatTakeReasons(code);
        if (!methods.isEmpty()) {
            Pattern call = Pattern.compile("\\b(?:" + String.join("|", methods) + ")\\(");
            code.forEach(file -> texts.addReasonsGivenTo(call, file));
        }
        return texts;
    }

    private void addStates(String file) {
        for (String constants : groupsOf(ENUM, file)) {
            CONSTANT.matcher(constants).results().forEach(constant -> states.add(constant.group()));
        }
    }

    private void addReasonConstants(String file) {
        groupsOf(REASON_ENUM, file).forEach(constants -> reasons.addAll(groupsOf(TEXT, constants)));
    }

    private void addTemplates(String file) {
        for (List<String> arguments : callsOf(MESSAGE, file)) {
            alternatives(arguments.get(0)).forEach(text -> templates.add(text.replace("{}", "" + VARIABLE)));
        }
    }

    private void addReasonsGivenTo(Pattern call, String file) {
        for (List<String> arguments : callsOf(call, file)) {
            arguments.forEach(argument -> reasons.addAll(alternatives(argument)));
        }
    }

    private static Set<String> methodsThatTakeReasons(List<String> code) {
        Set<String> methods = new TreeSet<>();
        code.forEach(file -> methods.addAll(groupsOf(TAKES_REASON, file)));
        return methods;
    }

    /** The first group of each match. */
    private static List<String> groupsOf(Pattern pattern, String code) {
        return pattern.matcher(code).results().map(result -> result.group(1)).toList();
    }

    /** Whether some message has this text of the page as a part of it. */
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

    /** Whether the message can begin with the quoted text. */
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
        return COMMENT_OR_TEXT
                .matcher(code)
                .replaceAll(result -> result.group(1) == null ? " " : Matcher.quoteReplacement(result.group(1)));
    }

    /** The arguments of each call. */
    private static List<List<String>> callsOf(Pattern call, String code) {
        return call.matcher(code)
                .results()
                .map(result -> split(code.substring(result.end()), ","))
                .toList();
    }

    /** The texts that an argument can be: one for each branch of a condition, none when no literal is in it. */
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

    /** The parts of an expression between these signs, up to the bracket that closes what is around it. */
    private static List<String> split(String expression, String signs) {
        List<String> parts = new ArrayList<>();
        int depth = 0;
        int start = 0;
        int at = 0;
        for (; at < expression.length() && depth >= 0; at++) {
            char sign = expression.charAt(at);
            if (sign == '"' || sign == '\'') {
                at = endOfText(expression, at);
            } else if ("([{".indexOf(sign) >= 0) {
                depth++;
            } else if (")]}".indexOf(sign) >= 0) {
                depth--;
            } else if (depth == 0 && signs.indexOf(sign) >= 0) {
                parts.add(expression.substring(start, at).strip());
                start = at + 1;
            }
        }
        parts.add(expression.substring(start, depth < 0 ? at - 1 : at).strip());
        return parts;
    }

    private static int endOfText(String code, int start) {
        int at = start + 1;
        while (code.charAt(at) != code.charAt(start)) {
            at += code.charAt(at) == '\\' ? 2 : 1;
        }
        return at;
    }
}
