/**
 * Codecs for the external protocols, with their names and validation. The names that the protocols use for fields and
 * values appear only in this package.
 */
package org.granitepath.protocol;
