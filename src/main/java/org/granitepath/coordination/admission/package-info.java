/**
 * Users' requests on every controller: submissions, polls, cancellations, each idempotent. {@link
 * org.granitepath.coordination.admission.JobRequestHandler} takes them; the index of jobs by their records and the
 * answers that are still owed belong here.
 */
package org.granitepath.coordination.admission;
