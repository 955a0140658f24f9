/**
 * History records: one for each of the latest revisions of the head.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";

/** How many revisions are retained; writing a new record deletes the oldest. */
export const KEPT_REVISIONS = 1_000;
/** The maximum number of changes listed in a record. */
export const MAX_LISTED_CHANGES = 20;

/** The changes and the author of a revision. */
export const historyRecordSchema = v.object({
  revision: v.number(),
  changeId: v.string(),
  author: v.string(),
  summary: v.string(),
  changedAtMs: v.number(),
  changes: v.array(v.string()),
});

export type HistoryRecord = v.InferOutput<typeof historyRecordSchema>;

/** Returns the writes that add the record of a revision and delete the expired one. */
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
