/**
 * Messages between entries. Each is an object with a `type`, encoded by msgpackr, over a web socket
 * that the sender dialled; answers travel over the other side's own link.
 *
 * @module
 */
import * as v from "valibot";
import { headSchema } from "./head.ts";
import { addressSchema, countSchema, nameSchema } from "./names.ts";

/** The first message on a link: who dialled. */
export const helloSchema = v.object({
  type: v.literal("hello"),
  memberId: nameSchema,
  incarnation: v.string(),
  /** Where the dialling process accepts links, so that the dialled one can link back. */
  peerAddress: addressSchema,
  protocolVersion: v.literal(2),
});

/** Sent to every peer each heartbeat interval. Times are of the sender's clock, but for the echo. */
export const heartbeatSchema = v.object({
  type: v.literal("heartbeat"),
  incarnation: v.string(),
  revision: countSchema,
  sentAtMs: v.number(),
  /** The latest `sentAtMs` that the sender got from the receiver; null before the first. */
  echoSentAtMs: v.nullable(v.number()),
  /** The incarnation whose `sentAtMs` is echoed. */
  echoIncarnation: v.string(),
  /** How old the sender's last own read of the head was when this was sent; null if it has none. */
  storeReadAgeMs: v.nullable(v.number()),
  /** Listed members that the sender has not heard within its suspicion time. */
  unheardMemberIds: v.array(nameSchema),
  draining: v.boolean(),
});

/** Asks a peer with a higher revision for the head and the configuration chunks not yet held. */
export const catchUpRequestSchema = v.object({
  type: v.literal("catchUpRequest"),
  revision: countSchema,
  heldDigests: v.array(v.string()),
});

/** The head of the answering peer, with the chunks that the asker does not hold. */
export const catchUpAnswerSchema = v.object({
  type: v.literal("catchUpAnswer"),
  head: headSchema,
  chunks: v.array(v.object({ digest: v.string(), text: v.string() })),
});

/**
 * A coordinator asks a member what it holds of some groups of resources. By answering, the member
 * promises to take no grant of a lower term.
 */
export const permitReportRequestSchema = v.object({
  type: v.literal("permitReportRequest"),
  term: countSchema,
  groups: v.array(v.string()),
});

/** What a member holds of the groups that were asked for, and the records that it keeps as a witness. */
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

/** A coordinator sets what one incarnation of a member may hold of some resources. */
export const permitGrantSchema = v.object({
  type: v.literal("permitGrant"),
  incarnation: v.string(),
  grants: v.array(v.object({
    group: v.string(),
    resource: v.string(),
    term: countSchema,
    allotment: countSchema,
    grantSeq: countSchema,
    /** The total that the coordinator divides. */
    total: countSchema,
  })),
});

/**
 * A member tells a coordinator what it holds and needs of some groups. `term` is the highest that it
 * promised for the group; `held` answers the grant `grantSeq`.
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
    /** Running and waiting requests by team. */
    teams: v.array(v.object({
      team: nameSchema,
      running: countSchema,
      waiting: countSchema,
      urgentWaiting: countSchema,
    })),
  })),
});

/** A service's coordinator tells a member how many requests of each team it should run. */
export const teamTargetsSchema = v.object({
  type: v.literal("teamTargets"),
  service: nameSchema,
  term: countSchema,
  targets: v.array(v.object({ team: nameSchema, running: countSchema })),
});

/** A coordinator tells its witness the most that it may itself hold of some resources. */
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

/** The witness has kept these records. */
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

/** Asks the owner of a shard to claim an idempotency key before the request is sent. */
export const claimRequestSchema = v.object({
  type: v.literal("claimRequest"),
  requestId: v.string(),
  idempotencyKey: v.string(),
  team: nameSchema,
  fingerprint: v.string(),
});

/** The outcome of a claim. Only `granted` permits a run. */
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

/** Tells the owner of a shard how a claimed request ended; `notRun` frees the key again. */
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
