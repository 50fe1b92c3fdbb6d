/** The wire: words, codecs and validation. Wire words appear here and nowhere else. */
package org.granitepath.protocol;
