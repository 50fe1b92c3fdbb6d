/**
 * The state of one leadership term: machines, jobs, placements, gang attempts and the resource usage of teams. Each
 * class owns its state and changes it through methods that higher packages call; no field is written from outside.
 */
package org.granitepath.coordination.model;
