/**
 * Gang scheduling: all tasks of a gang start together or none does. This package owns the reservations of machines for
 * gangs.
 */
package org.granitepath.coordination.gang;
