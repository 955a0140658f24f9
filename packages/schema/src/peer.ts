/**
 * Messages between entries. Each message is an object with a `type`, encoded as msgpack and sent
 * over a WebSocket that the sender opened; replies go over the other side's own connection.
 *
 * @module
 */
import * as v from "valibot";
import { headSchema } from "./head.ts";
import { addressSchema, countSchema, nameSchema } from "./names.ts";

/** The first message on a link; identifies the member that opened it. */
export const helloSchema = v.object({
  type: v.literal("hello"),
  memberId: nameSchema,
  incarnation: v.string(),
  /** The address at which the sender accepts links, so that the receiver can connect back. */
  peerAddress: addressSchema,
  protocolVersion: v.literal(2),
});

/**
 * Sent to every peer at each heartbeat interval. Times are on the sender's clock, except the echo.
 */
export const heartbeatSchema = v.object({
  type: v.literal("heartbeat"),
  incarnation: v.string(),
  revision: countSchema,
  sentAtMs: v.number(),
  /**
   * The latest `sentAtMs` received from the addressee, on its clock; null before the first
   * heartbeat.
   */
  echoSentAtMs: v.nullable(v.number()),
  /** The incarnation of the addressee that sent `echoSentAtMs`. */
  echoIncarnation: v.string(),
  /** The age of the sender's own last read of the head at the time of sending; null without one. */
  storeReadAgeMs: v.nullable(v.number()),
  /** Listed members from which the sender has received nothing within `suspectAfterMs`. */
  unheardMemberIds: v.array(nameSchema),
  draining: v.boolean(),
  /** The store revision of the sender's list of draining VMs. */
  drainingVmsRevision: v.optional(countSchema),
});

/** Requests the list of draining VMs from a peer that holds a newer one. */
export const drainingVmsRequestSchema = v.object({
  type: v.literal("drainingVmsRequest"),
  modRevision: countSchema,
});

/** The draining VMs, which receive no new requests, as of a store revision. */
export const drainingVmsSchema = v.object({
  type: v.literal("drainingVms"),
  modRevision: countSchema,
  vms: v.array(nameSchema),
});

/** Requests the head and the missing configuration chunks from a peer with a higher revision. */
export const catchUpRequestSchema = v.object({
  type: v.literal("catchUpRequest"),
  revision: countSchema,
  heldDigests: v.array(v.string()),
});

/** The head of the responding peer, with the chunks that the requester does not hold. */
export const catchUpAnswerSchema = v.object({
  type: v.literal("catchUpAnswer"),
  head: headSchema,
  chunks: v.array(v.object({ digest: v.string(), text: v.string() })),
});

/**
 * A coordinator requests a report of a member's permits for some resource groups. By replying, the
 * member promises to reject grants of a lower term.
 */
export const permitReportRequestSchema = v.object({
  type: v.literal("permitReportRequest"),
  term: countSchema,
  groups: v.array(v.string()),
});

/**
 * The permits that a member holds in the requested groups, and the records it keeps as a witness.
 */
export const permitReportSchema = v.object({
  type: v.literal("permitReport"),
  term: countSchema,
  groups: v.array(v.object({
    group: v.string(),
    holdings: v.array(v.object({
      resource: v.string(),
      held: countSchema,
      inUse: countSchema,
      total: countSchema,
    })),
    records: v.array(
      v.object({ resource: v.string(), incarnation: v.string(), allotment: countSchema }),
    ),
  })),
});

/** A coordinator sets the permit allotments of one incarnation of a member. */
export const permitGrantSchema = v.object({
  type: v.literal("permitGrant"),
  incarnation: v.string(),
  grants: v.array(v.object({
    group: v.string(),
    resource: v.string(),
    term: countSchema,
    allotment: countSchema,
    grantSeq: countSchema,
    /** The total number of permits that the coordinator distributes. */
    total: countSchema,
  })),
});

/**
 * A member reports to a coordinator its permits and its demand in some groups. `term` is the
 * highest term that the member promised for the group; `held` is the state after applying the grant
 * `grantSeq`.
 */
export const permitDemandSchema = v.object({
  type: v.literal("permitDemand"),
  groups: v.array(v.object({
    group: v.string(),
    term: countSchema,
    holdings: v.array(v.object({
      resource: v.string(),
      held: countSchema,
      inUse: countSchema,
      grantSeq: countSchema,
    })),
    /** Running and waiting requests per team. */
    teams: v.array(v.object({
      team: nameSchema,
      running: countSchema,
      waiting: countSchema,
      urgentWaiting: countSchema,
    })),
  })),
});

/** The coordinator of a service sets how many requests of each team a member should run. */
export const teamTargetsSchema = v.object({
  type: v.literal("teamTargets"),
  service: nameSchema,
  term: countSchema,
  targets: v.array(v.object({ team: nameSchema, running: countSchema })),
});

/** A coordinator asks its witness to record the maximum allotments of the coordinator itself. */
export const witnessRequestSchema = v.object({
  type: v.literal("witnessRequest"),
  records: v.array(v.object({
    group: v.string(),
    resource: v.string(),
    term: countSchema,
    allotment: countSchema,
    seq: countSchema,
  })),
});

/** Confirms the records that the witness has stored. */
export const witnessAnswerSchema = v.object({
  type: v.literal("witnessAnswer"),
  incarnation: v.string(),
  recorded: v.array(v.object({
    group: v.string(),
    resource: v.string(),
    term: countSchema,
    seq: countSchema,
  })),
});

/** Asks the owner of a shard to claim an idempotency key before the request is forwarded. */
export const claimRequestSchema = v.object({
  type: v.literal("claimRequest"),
  requestId: v.string(),
  idempotencyKey: v.string(),
  team: nameSchema,
  fingerprint: v.string(),
});

/** The result of a claim. The request may only be run if it is `granted`. */
export const claimAnswerSchema = v.object({
  type: v.literal("claimAnswer"),
  requestId: v.string(),
  result: v.picklist([
    "granted",
    "running",
    "answered",
    "mayHaveRun",
    "mismatch",
    "outsideWindow",
    "unavailable",
  ]),
  status: v.nullable(countSchema),
});

/** Reports the outcome of a claimed request to the owner of the shard; `notRun` frees the key. */
export const claimOutcomeSchema = v.object({
  type: v.literal("claimOutcome"),
  requestId: v.string(),
  idempotencyKey: v.string(),
  team: nameSchema,
  outcome: v.picklist(["answered", "notRun", "unknown"]),
  status: v.nullable(countSchema),
});

/** Every message between entries. */
export const messageSchema = v.variant("type", [
  helloSchema,
  heartbeatSchema,
  catchUpRequestSchema,
  catchUpAnswerSchema,
  drainingVmsRequestSchema,
  drainingVmsSchema,
  permitReportRequestSchema,
  permitReportSchema,
  permitGrantSchema,
  permitDemandSchema,
  teamTargetsSchema,
  witnessRequestSchema,
  witnessAnswerSchema,
  claimRequestSchema,
  claimAnswerSchema,
  claimOutcomeSchema,
]);

export type Hello = v.InferOutput<typeof helloSchema>;
export type Heartbeat = v.InferOutput<typeof heartbeatSchema>;
export type CatchUpRequest = v.InferOutput<typeof catchUpRequestSchema>;
export type CatchUpAnswer = v.InferOutput<typeof catchUpAnswerSchema>;
export type DrainingVmsRequest = v.InferOutput<typeof drainingVmsRequestSchema>;
export type DrainingVmsMessage = v.InferOutput<typeof drainingVmsSchema>;
export type PermitReportRequest = v.InferOutput<typeof permitReportRequestSchema>;
export type PermitReport = v.InferOutput<typeof permitReportSchema>;
export type PermitGrant = v.InferOutput<typeof permitGrantSchema>;
export type PermitDemand = v.InferOutput<typeof permitDemandSchema>;
export type TeamTargets = v.InferOutput<typeof teamTargetsSchema>;
export type WitnessRequest = v.InferOutput<typeof witnessRequestSchema>;
export type WitnessAnswer = v.InferOutput<typeof witnessAnswerSchema>;
export type ClaimRequest = v.InferOutput<typeof claimRequestSchema>;
export type ClaimAnswer = v.InferOutput<typeof claimAnswerSchema>;
export type ClaimOutcome = v.InferOutput<typeof claimOutcomeSchema>;
export type Message = v.InferOutput<typeof messageSchema>;
/** The `type` of a message. */
export type MessageType = Message["type"];
/** The message with a given `type`. */
export type MessageOf<TType extends MessageType> = Extract<Message, { type: TType }>;
