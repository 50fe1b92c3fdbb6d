package org.granitepath.cli;

import java.io.IOException;
import java.nio.file.Path;

/** A setting or a settings file is invalid. The operator sees only the message. */
final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param message one line that names the setting and says what is wrong
     */
    InvalidSettingException(String message) {
        super(message);
    }

    private InvalidSettingException(String message, Exception cause) {
        super(message, cause);
    }

    /**
     * Returns an exception for one invalid setting.
     *
     * @param setting the name of the setting, with the path of its table
     * @param expected the requirement, as the end of a sentence that starts with the name
     */
    static InvalidSettingException invalid(String setting, String expected) {
        return new InvalidSettingException(setting + " " + expected);
    }

    /** Returns an exception for a settings file that cannot be read. */
    static InvalidSettingException unreadable(Path file, IOException cause) {
        return new InvalidSettingException("can't read " + file + ": " + cause.getMessage(), cause);
    }

    /** Returns an exception for a settings file that is not in the expected format. */
    static InvalidSettingException malformed(Path file, String format, Exception cause) {
        return new InvalidSettingException(file + " is not valid " + format + ": " + cause.getMessage(), cause);
    }
}
