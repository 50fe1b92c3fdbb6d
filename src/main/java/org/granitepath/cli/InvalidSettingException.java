package org.granitepath.cli;

/** A setting that can't be used, in words for the operator. */
final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidSettingException(String message) {
        super(message);
    }
}
