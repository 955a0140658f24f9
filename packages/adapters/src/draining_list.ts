/**
 * The VMs to which entries should send nothing. Stewards write the list in the transaction that takes a
 * VM out of service; entries read it as often as the head.
 *
 * @module
 */
import { ok, type ResultAsync } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/** The list if it was changed after the store revision `modRevision`, else null; such an answer is small. */
export function readNewerDrainingVms(
  store: ports.store.Store,
  modRevision: number,
): ResultAsync<ports.members.DrainingVms | null, schema.errors.JackdawlinkError> {
  const { DRAINING } = schema.storeKeys;
  return store.get(DRAINING, { minModRevision: modRevision + 1 }).andThen((stored) => {
    if (stored === null) return ok(null);
    return schema.fleet.parseRecord(schema.fleet.drainingRecordSchema, stored)
      .map(({ operations }) => ({
        modRevision: stored.modRevision,
        vms: new Set(Object.keys(operations)),
      }));
  });
}
