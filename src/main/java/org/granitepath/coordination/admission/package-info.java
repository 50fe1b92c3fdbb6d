/**
 * Handles users' requests on every controller: submissions, polls and cancellations, all of them idempotent.
 * {@link org.granitepath.coordination.admission.JobRequestHandler} receives the requests. The package also keeps the
 * index of all jobs and the requests that wait for an answer.
 */
package org.granitepath.coordination.admission;
