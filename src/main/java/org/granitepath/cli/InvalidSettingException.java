package org.granitepath.cli;

import java.io.IOException;
import java.nio.file.Path;

/** Settings that can't be used, in words for the operator: the message is all that is shown. */
final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    /** @param message what is wrong, in one line that names the setting */
    InvalidSettingException(String message) {
        super(message);
    }

    private InvalidSettingException(String message, Exception cause) {
        super(message, cause);
    }

    /**
     * One setting is wrong by itself.
     *
     * @param setting its name, with the tables that it is in
     * @param expected what it must be, as the end of a sentence that begins with the name
     */
    static InvalidSettingException wrong(String setting, String expected) {
        return new InvalidSettingException(setting + " " + expected);
    }

    /** A file of settings can't be read. */
    static InvalidSettingException unreadable(Path file, IOException cause) {
        return new InvalidSettingException("can't read " + file + ": " + cause.getMessage(), cause);
    }

    /** A file of settings is not written in the format that it should be. */
    static InvalidSettingException malformed(Path file, String format, Exception cause) {
        return new InvalidSettingException(file + " is not valid " + format + ": " + cause.getMessage(), cause);
    }
}
