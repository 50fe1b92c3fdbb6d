/** Records kept in the store, the local replica of them, and the interface to the store itself. */
package org.granitepath.storage;
