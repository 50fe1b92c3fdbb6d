/**
 * Which machines a job may use, which of them are best, and which jobs can wait for cheaper ones. Decides only; it
 * changes nothing but the scheduling classes of jobs.
 */
package org.granitepath.coordination.placement;
