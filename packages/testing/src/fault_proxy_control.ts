/**
 * Schemas of the control requests of the fault proxy.
 *
 * @module
 */
import { names } from "@jackdawlink/schema";
import * as v from "valibot";

/** `toTarget`: from the connecting side to the target; `toClient`: the opposite direction. */
export const directionSchema = v.picklist(["toTarget", "toClient"]);

/** `POST /routes`: adds a route, which listens on a free port of the loopback interface. */
export const routeBodySchema = v.strictObject({
  name: v.string(),
  target: names.addressSchema,
});

/**
 * `POST /faults`: sets the faults of some routes. Without `routes` it applies to all routes; without
 * `clients` (IP addresses of the connecting side) it applies to all connections of those routes.
 *
 * `cut` drops the bytes of a direction but keeps the connections open; `freeze` buffers bytes until
 * `heal`; `delay` adds latency; `reset` resets the open connections once; `refuse` also resets new
 * ones; `heal` clears all faults and delivers the buffered bytes. `heal` resets connections that lost
 * bytes to a `cut`, as their streams have gaps.
 */
export const faultBodySchema = v.strictObject({
  routes: v.optional(v.array(v.string())),
  clients: v.optional(v.array(v.string())),
  kind: v.picklist(["cut", "freeze", "delay", "reset", "refuse", "heal"]),
  directions: v.optional(v.array(directionSchema), ["toTarget", "toClient"]),
  delayMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
});

export type Direction = v.InferOutput<typeof directionSchema>;
export type RouteBody = v.InferOutput<typeof routeBodySchema>;
export type FaultBody = v.InferOutput<typeof faultBodySchema>;
export type FaultBodyInput = v.InferInput<typeof faultBodySchema>;
