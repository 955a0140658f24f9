/**
 * Reads the list of draining VMs, to which entries must not route. Stewards update the list in the
 * transaction that takes a VM out of service; entries poll it as often as the head.
 *
 * @module
 */
import { ok, type ResultAsync } from "neverthrow";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";

/**
 * Reads the list if it has changed since the store revision `modRevision`, otherwise null. An
 * unchanged list is not transferred.
 */
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
