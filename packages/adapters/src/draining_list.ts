/**
 * The VMs to which entries should send nothing. Stewards write the list in the transaction that takes a
 * VM out of service; entries read it as often as the head.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** Reads the names of the VMs that are marked as draining. */
export function readDrainingVms(
  store: ports.store.Store,
): ResultAsync<ReadonlySet<string>, schema.errors.JackdawlinkError> {
  return store.get(schema.storeKeys.DRAINING).andThen((stored) => {
    const record = stored ?? { key: schema.storeKeys.DRAINING, value: EMPTY_RECORD };
    return schema.fleet.parseRecord(schema.fleet.drainingRecordSchema, record)
      .map(({ operations }) => new Set(Object.keys(operations)));
  });
}

const EMPTY_RECORD = JSON.stringify({ operations: {} });
