/**
 * Gang scheduling: all tasks of a job start together or none does. Owns the reservations of machines for gangs.
 */
package org.granitepath.coordination.gang;
