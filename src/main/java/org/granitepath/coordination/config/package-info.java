/**
 * What the decision code needs of the settings: the platform's facts and the operators' own choices. Immutable;
 * made once at the start by the command line.
 */
package org.granitepath.coordination.config;
