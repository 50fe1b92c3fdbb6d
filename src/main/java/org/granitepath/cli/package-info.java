/**
 * The command line and the settings.
 *
 * <p>{@code Main} runs the {@code Command} that the arguments name. {@code Settings} reads two files: the platform
 * settings through {@code ConfigReader} and the tuning settings of the operators through {@code TuningFile}.
 * {@code ConfigValidator} rejects contradictions.
 */
package org.granitepath.cli;
