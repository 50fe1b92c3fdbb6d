/**
 * One term of leadership: puts the parts together, answers workers and makes the periodic checks, and tells how far the
 * recovery has come. Made when a campaign is won and dropped when leadership is lost.
 */
package org.granitepath.coordination.term;
