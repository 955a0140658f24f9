/**
 * Paces the owner's decisions under load. Each decision covers all events up to it, so that fewer
 * decisions with more events cost less and leave time for the responses that cause the events.
 *
 * @module
 */

/** Far below what a caller notices; a busy owner gets several events in this time. */
const MIN_GAP_MS = 4;
/** Well below 600 ms, the slack that an objective leaves beyond a job's longest chain of work. */
const MAX_GAP_MS = 30;

/** How long no decision begins after one that took `tookMs`: as long as that, within bounds. */
export function gapAfterMs(tookMs: number): number {
  return Math.min(Math.max(tookMs, MIN_GAP_MS), MAX_GAP_MS);
}
