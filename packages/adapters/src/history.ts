/**
 * History records: one for each revision of the head, for as long as it is kept.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";

/** How many revisions are kept; an older record goes with the write of a new one. */
export const KEPT_REVISIONS = 1_000;
/** The most changes that a record lists. */
export const MAX_LISTED_CHANGES = 20;

/** What one revision changed, and who made it. */
export const historyRecordSchema = v.object({
  revision: v.number(),
  changeId: v.string(),
  author: v.string(),
  summary: v.string(),
  changedAtMs: v.number(),
  changes: v.array(v.string()),
});

export type HistoryRecord = v.InferOutput<typeof historyRecordSchema>;

/** The writes that record a revision and drop the one that is no longer kept. */
export function historyWrites(
  head: schema.head.Head,
  changes: readonly string[],
): readonly ports.store.Write[] {
  const { revision, changeId, author, summary, changedAtMs } = head;
  const listed = changes.slice(0, MAX_LISTED_CHANGES);
  const omittedCount = changes.length - listed.length;
  const record: HistoryRecord = {
    revision,
    changeId,
    author,
    summary,
    changedAtMs,
    changes: omittedCount > 0 ? [...listed, `and ${omittedCount} more`] : listed,
  };
  const droppedRevision = revision - KEPT_REVISIONS;
  return [
    { kind: "put", key: schema.storeKeys.historyKey(revision), value: JSON.stringify(record) },
    ...(droppedRevision > 0
      ? [{ kind: "delete", key: schema.storeKeys.historyKey(droppedRevision) } as const]
      : []),
  ];
}
