/** Records kept in the state service, the local mirror of them, and the interface to the store itself. */
package org.granitepath.bookkeeping;
