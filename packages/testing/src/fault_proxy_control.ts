/**
 * Bodies by which the fault proxy is controlled.
 *
 * @module
 */
import { names } from "@jackdawlink/schema";
import * as v from "valibot";

/** `toTarget` is what the dialling side sends; `toClient` is what comes back. */
export const directionSchema = v.picklist(["toTarget", "toClient"]);

/** `POST /routes`: adds a route, which listens on a free port of the loopback interface. */
export const routeBodySchema = v.strictObject({
  name: v.string(),
  target: names.addressSchema,
});

/**
 * `POST /faults`: sets the faults of some routes. Without `routes`, all routes are meant.
 *
 * `cut` drops bytes of a direction and keeps the connections; `freeze` holds bytes back until healed;
 * `delay` adds a delay; `reset` resets open connections once; `refuse` also resets new ones; `heal`
 * ends all faults and delivers what was held back. Connections that lost bytes by a cut are reset on
 * healing, as their streams have gaps.
 */
export const faultBodySchema = v.strictObject({
  routes: v.optional(v.array(v.string())),
  kind: v.picklist(["cut", "freeze", "delay", "reset", "refuse", "heal"]),
  directions: v.optional(v.array(directionSchema), ["toTarget", "toClient"]),
  delayMs: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
});

export type Direction = v.InferOutput<typeof directionSchema>;
export type RouteBody = v.InferOutput<typeof routeBodySchema>;
export type FaultBody = v.InferOutput<typeof faultBodySchema>;
export type FaultBodyInput = v.InferInput<typeof faultBodySchema>;
