/**
 * Users' requests on every controller: submissions, polls, cancellations, each idempotent. Owns the index of jobs by
 * their records and the answers that are still owed.
 */
package org.granitepath.coordination.admission;
