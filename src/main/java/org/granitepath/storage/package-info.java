/** The records in the store, the local replica of these records, and the interface to the store itself. */
package org.granitepath.storage;
