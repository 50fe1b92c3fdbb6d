/** The command line and the settings. */
package org.granitepath.cli;
