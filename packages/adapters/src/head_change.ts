/**
 * Changes of the head record, and how they can fail.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { Result } from "neverthrow";
import { decodeStored } from "./stored_json.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** No answer told whether a change took effect before the time was up; history has its id if it did. */
export const OutcomeUnknownError = schema.errors.StoreUnavailableError.subclass(
  "OutcomeUnknownError",
  { props: { changeId: "" } },
);

/** The head with the store's revision of it, zero before the first. */
export interface HeadRecord {
  readonly head: schema.head.Head;
  readonly modRevision: number;
}

/** What a change replaces in the head; what is left out stays. */
export type HeadEdit = Partial<Pick<schema.head.Head, "chunks" | "members" | "fences">>;

/** One change of the head. */
export interface HeadChange {
  readonly edit: HeadEdit;
  readonly author: string;
  readonly summary: string;
  /** Lines for the history record. */
  readonly changes?: readonly string[];
  /** Writes of the same transaction. */
  readonly writes?: readonly ports.store.Write[];
  readonly timeoutMs?: number;
}

/** An edit that is made again from the newest head whenever another writer was first. */
export interface HeadUpdate {
  /** Null where nothing is left to do. `nextRevision` is the revision that the edit would have. */
  readonly mutate: (head: schema.head.Head, nextRevision: number) => HeadEdit | null;
  readonly author: string;
  readonly summary: string;
  readonly timeoutMs?: number;
}

/** The head of a stored value. */
export function decodeHead(
  stored: ports.store.StoredValue,
): Result<HeadRecord, JackdawlinkError> {
  return decodeStored(stored, schema.head.headSchema)
    .map((head) => ({ head, modRevision: stored.modRevision }));
}

/** The head after a change. */
export function nextHead(
  base: schema.head.Head,
  change: HeadEdit & Pick<schema.head.Head, "changeId" | "author" | "summary" | "changedAtMs">,
): schema.head.Head {
  const revision = base.revision + 1;
  return {
    ...base,
    ...change,
    revision,
    configRevision: change.chunks === undefined ? base.configRevision : revision,
    membersRevision: change.members === undefined ? base.membersRevision : revision,
  };
}

/** Whether the same call may succeed later. */
export function isTransient(error: JackdawlinkError): boolean {
  return error instanceof schema.errors.StoreUnavailableError;
}

/** Another writer was first. */
export function conflictError(base: schema.head.Head): JackdawlinkError {
  return new schema.errors.ConflictError(
    `Another writer has moved the head on from revision ${base.revision}`,
  );
}

/** The time was up before the outcome was known. */
export function outcomeUnknown(head: schema.head.Head, cause?: unknown): JackdawlinkError {
  const message = `It is not known whether change ${head.changeId} took effect; ` +
    `look for it in the history at revision ${head.revision}`;
  return new OutcomeUnknownError(message, { props: { changeId: head.changeId }, cause });
}
