/**
 * Configuration of the decision code: the facts that the platform dictates and the values that the operators choose.
 * All types are immutable. The command-line code creates them once, at startup.
 */
package org.granitepath.coordination.config;
