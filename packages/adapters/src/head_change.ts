/**
 * Changes of the head record and their errors.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { Result } from "neverthrow";
import { decodeStored } from "./stored_json.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/**
 * The timeout passed before it was known whether a change took effect. If it did, the history
 * contains its `changeId`.
 */
export const OutcomeUnknownError = schema.errors.StoreUnavailableError.subclass(
  "OutcomeUnknownError",
  { props: { changeId: "" } },
);

/** The head with its store revision, which is zero before the first change. */
export interface HeadRecord {
  readonly head: schema.head.Head;
  readonly modRevision: number;
}

/** The fields that a change replaces in the head; omitted fields stay unchanged. */
export type HeadEdit = Partial<Pick<schema.head.Head, "chunks" | "members" | "fences">>;

/** A change of the head. */
export interface HeadChange {
  readonly edit: HeadEdit;
  readonly author: string;
  readonly summary: string;
  /** Descriptions of the changes for the history record. */
  readonly changes?: readonly string[];
  /** Additional writes in the same transaction. */
  readonly writes?: readonly ports.store.Write[];
  readonly timeoutMs?: number;
}

/** An update of the head that is recomputed from the newest head after each conflict. */
export interface HeadUpdate {
  /**
   * Returns the edit, or null if nothing is to be changed. `nextRevision` is the revision of the
   * edit.
   */
  readonly mutate: (head: schema.head.Head, nextRevision: number) => HeadEdit | null;
  readonly author: string;
  readonly summary: string;
  readonly timeoutMs?: number;
}

/** Decodes a stored head record. */
export function decodeHead(
  stored: ports.store.StoredValue,
): Result<HeadRecord, JackdawlinkError> {
  return decodeStored(stored, schema.head.headSchema)
    .map((head) => ({ head, modRevision: stored.modRevision }));
}

/** Applies a change to a head. */
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

/** Whether the call may succeed if it is retried. */
export function isTransient(error: JackdawlinkError): boolean {
  return error instanceof schema.errors.StoreUnavailableError;
}

/** Creates the error of a lost compare-and-swap. */
export function conflictError(base: schema.head.Head): JackdawlinkError {
  return new schema.errors.ConflictError(
    `Another writer has moved the head on from revision ${base.revision}`,
  );
}

/** Creates the error of a change whose outcome is unknown at its timeout. */
export function outcomeUnknown(head: schema.head.Head, cause?: unknown): JackdawlinkError {
  const message = `It is not known whether change ${head.changeId} took effect; ` +
    `look for it in the history at revision ${head.revision}`;
  return new OutcomeUnknownError(message, { props: { changeId: head.changeId }, cause });
}
