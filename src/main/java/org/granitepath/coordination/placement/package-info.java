/**
 * Which machines a job may use, which of them are best, and which jobs can wait for cheaper ones. Decides only; it
 * changes nothing but the notes of the batch planner on jobs.
 */
package org.granitepath.coordination.placement;
