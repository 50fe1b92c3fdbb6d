/** Records kept in the state service, the local replica of them, and the interface to the store itself. */
package org.granitepath.storage;
