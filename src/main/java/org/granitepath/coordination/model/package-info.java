/**
 * The state of one term of leadership: machines, jobs, placements, gang attempts, the teams' usage. Each class owns its
 * state and changes it through named transitions, which the packages above call; no field is written from outside.
 */
package org.granitepath.coordination.model;
