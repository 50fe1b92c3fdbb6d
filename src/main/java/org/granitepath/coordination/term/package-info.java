/**
 * One term of leadership: wires its components together, answers workers, makes the periodic checks and reports the
 * progress of the recovery. A term is created when a campaign is won and discarded when leadership is lost.
 */
package org.granitepath.coordination.term;
