/**
 * The command line and the settings.
 *
 * <p>{@code Main} runs the {@code Command} that the arguments name. {@code Settings} has the platform's file, read by
 * {@code ConfigReader}, and the operators' own, read by {@code TuningFile}; {@code ConfigValidator} finds contradictions.
 */
package org.granitepath.cli;
