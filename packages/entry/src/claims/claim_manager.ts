/**
 * Claims idempotency keys on behalf of this entry's callers: asks the owner of a key's shard, and
 * answers the other entries for the shards that this entry owns.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { ShardOwner } from "./shard_owner.ts";

type ClaimResult = policy.claimShard.ClaimResult;
type ClaimRequest = schema.peer.ClaimRequest;
type ClaimOutcome = schema.peer.ClaimOutcome;

/** A claim is asked for again at this interval, since messages may be lost and owners may change. */
const ASK_AGAIN_MS = 250;

/** What a claim manager is built from. */
export interface ClaimManagerOptions {
  readonly memberId: string;
  readonly shardCount: number;
  readonly window: policy.claimShard.ClaimWindowOptions;
  readonly store: ports.store.Store;
  readonly peers: ports.peers.PeerLinks;
  readonly snapshots: ports.members.SnapshotSource;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
}

/** A claim that this entry has asked for and not yet got an answer to. */
interface PendingAsk {
  readonly request: ClaimRequest;
  readonly giveUpAtMs: number;
  readonly resolve: (result: ClaimResult) => void;
  stopTimer: () => void;
}

/** Implements the port of claims over the platform store and the links to the other entries. */
export class ClaimManager implements ports.claims.Claims {
  readonly #options: ClaimManagerOptions;
  readonly #owner: ShardOwner;
  readonly #pendingByRequestId = new Map<string, PendingAsk>();
  /** The submissions that were granted and have not ended, by the digest of their key. */
  readonly #grantedRequestIds = new Map<string, string>();

  #rendezvousMembers: readonly schema.head.Member[] = [];
  #rendezvous = new policy.rendezvous.Rendezvous<schema.head.Member>([]);

  constructor(options: ClaimManagerOptions) {
    this.#options = options;
    this.#owner = new ShardOwner(options);
    this.#registerHandlers();
  }

  /** Asks until answered or out of time. An ask that was given up is never used, however late its answer. */
  claim(ask: ports.claims.KeyedRequest): Promise<ClaimResult> {
    const request: ClaimRequest = {
      type: "claimRequest",
      requestId: randomUUID(),
      idempotencyKey: ask.idempotencyKey,
      team: ask.team,
      fingerprint: ask.fingerprint,
    };
    return new Promise((resolve) => {
      const pending: PendingAsk = {
        request,
        giveUpAtMs: this.#options.clock.nowMs() + ask.timeoutMs,
        resolve,
        stopTimer: () => {},
      };
      this.#pendingByRequestId.set(request.requestId, pending);
      this.#ask(pending);
    });
  }

  /** Reports how a granted submission ended; lost reports leave the key as one that may have run. */
  finish(
    ask: Pick<ports.claims.KeyedRequest, "team" | "idempotencyKey">,
    end: Pick<ClaimOutcome, "outcome" | "status">,
  ): void {
    const keyDigest = policy.idempotencyKeys.digestOfKey(ask.team, ask.idempotencyKey);
    const requestId = this.#grantedRequestIds.get(keyDigest);
    if (requestId === undefined) {
      return;
    }
    this.#grantedRequestIds.delete(keyDigest);
    this.#sendOutcome({ ...ask, ...end, type: "claimOutcome", requestId });
  }

  /** Stops timers; asks that still wait are refused. */
  stop(): void {
    for (const pending of [...this.#pendingByRequestId.values()]) {
      this.#giveUp(pending);
    }
    this.#owner.stop();
  }

  #registerHandlers(): void {
    const { peers } = this.#options;
    peers.on("claimRequest", (request, sender) => {
      void this.#owner.claim(request).then((result) => {
        if (result !== null) {
          peers.send(sender.memberId, {
            type: "claimAnswer",
            requestId: request.requestId,
            ...result,
          });
        }
      });
    });
    peers.on("claimAnswer", (answer) => this.#settle(answer.requestId, answer));
    peers.on("claimOutcome", (outcome) => this.#owner.finish(outcome));
  }

  #ask(pending: PendingAsk): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs >= pending.giveUpAtMs) {
      this.#giveUp(pending);
      return;
    }
    const delayMs = Math.min(ASK_AGAIN_MS, pending.giveUpAtMs - nowMs);
    pending.stopTimer = this.#options.clock.after(delayMs, () => this.#ask(pending));
    this.#sendAsk(pending.request);
  }

  #sendAsk(request: ClaimRequest): void {
    const ownerId = this.#ownerOf(request);
    if (ownerId === null) {
      return;
    }
    if (ownerId !== this.#options.memberId) {
      this.#options.peers.send(ownerId, request);
      return;
    }
    void this.#owner.claim(request).then((result) => {
      if (result !== null) {
        this.#settle(request.requestId, result);
      }
    });
  }

  #settle(requestId: string, { result, status }: ClaimResult): void {
    const pending = this.#pendingByRequestId.get(requestId);
    if (pending === undefined) {
      return;
    }
    if (this.#options.clock.nowMs() >= pending.giveUpAtMs) {
      this.#giveUp(pending);
      return;
    }
    this.#pendingByRequestId.delete(requestId);
    pending.stopTimer();
    if (result === "granted") {
      const { team, idempotencyKey } = pending.request;
      this.#grantedRequestIds.set(
        policy.idempotencyKeys.digestOfKey(team, idempotencyKey),
        requestId,
      );
    }
    this.#options.log.info("Claim answered", { requestId, result });
    pending.resolve({ result, status });
  }

  #giveUp(pending: PendingAsk): void {
    const { requestId, idempotencyKey, team } = pending.request;
    pending.stopTimer();
    this.#pendingByRequestId.delete(requestId);
    this.#options.log.warn("Claim given up", { requestId, team });
    this.#sendOutcome({
      type: "claimOutcome",
      requestId,
      idempotencyKey,
      team,
      outcome: "notRun",
      status: null,
    });
    pending.resolve({ result: "unavailable", status: null });
  }

  #sendOutcome(outcome: ClaimOutcome): void {
    const ownerId = this.#ownerOf(outcome);
    if (ownerId === this.#options.memberId) {
      this.#owner.finish(outcome);
    } else if (ownerId !== null) {
      this.#options.peers.send(ownerId, outcome);
    }
  }

  #ownerOf({ team, idempotencyKey }: Pick<ClaimRequest, "team" | "idempotencyKey">): string | null {
    const { shardCount, snapshots } = this.#options;
    const keyDigest = policy.idempotencyKeys.digestOfKey(team, idempotencyKey);
    const shard = policy.idempotencyKeys.shardOfDigest(keyDigest, shardCount);
    const { members } = snapshots.current().head;
    if (members !== this.#rendezvousMembers) {
      this.#rendezvousMembers = members;
      this.#rendezvous = new policy.rendezvous.Rendezvous(members);
    }
    return this.#rendezvous.rolesOf(`claims:${shard}`).coordinator?.memberId ?? null;
  }
}
