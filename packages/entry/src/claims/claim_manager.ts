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
const RETRY_INTERVAL_MS = 250;

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
interface PendingClaim {
  readonly request: ClaimRequest;
  readonly deadlineMs: number;
  readonly resolve: (result: ClaimResult) => void;
  stopTimer: () => void;
}

/** Implements the port of claims over the platform store and the links to the other entries. */
export class ClaimManager implements ports.claims.Claims {
  readonly #options: ClaimManagerOptions;
  readonly #owner: ShardOwner;
  readonly #pendingByRequestId = new Map<string, PendingClaim>();
  /** The submissions that were granted and have not ended, by the digest of their key. */
  readonly #grantedRequestIdByDigest = new Map<string, string>();

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
      const pending: PendingClaim = {
        request,
        deadlineMs: this.#options.clock.nowMs() + ask.timeoutMs,
        resolve,
        stopTimer: () => {},
      };
      this.#pendingByRequestId.set(request.requestId, pending);
      this.#attempt(pending);
    });
  }

  /** Reports how a granted submission ended; lost reports leave the key as one that may have run. */
  finish(
    ask: Pick<ports.claims.KeyedRequest, "team" | "idempotencyKey">,
    end: Pick<ClaimOutcome, "outcome" | "status">,
  ): void {
    const keyDigest = policy.idempotencyKeys.digestOfKey(ask.team, ask.idempotencyKey);
    const requestId = this.#grantedRequestIdByDigest.get(keyDigest);
    if (requestId === undefined) {
      return;
    }
    this.#grantedRequestIdByDigest.delete(keyDigest);
    this.#sendOutcome({ ...ask, ...end, type: "claimOutcome", requestId });
  }

  /** Stops timers; asks that still wait are refused. */
  stop(): void {
    for (const pending of [...this.#pendingByRequestId.values()]) {
      this.#refuse(pending);
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
    peers.on("claimAnswer", (answer) => this.#receiveAnswer(answer.requestId, answer));
    peers.on("claimOutcome", (outcome) => this.#owner.recordOutcome(outcome));
  }

  #attempt(pending: PendingClaim): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs >= pending.deadlineMs) {
      this.#refuse(pending);
      return;
    }
    const delayMs = Math.min(RETRY_INTERVAL_MS, pending.deadlineMs - nowMs);
    pending.stopTimer = this.#options.clock.after(delayMs, () => this.#attempt(pending));
    this.#sendRequest(pending.request);
  }

  #sendRequest(request: ClaimRequest): void {
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
        this.#receiveAnswer(request.requestId, result);
      }
    });
  }

  #receiveAnswer(requestId: string, { result, status }: ClaimResult): void {
    const pending = this.#pendingByRequestId.get(requestId);
    if (pending === undefined) {
      return;
    }
    if (this.#options.clock.nowMs() >= pending.deadlineMs) {
      this.#refuse(pending);
      return;
    }
    this.#pendingByRequestId.delete(requestId);
    pending.stopTimer();
    if (result === "granted") {
      const { team, idempotencyKey } = pending.request;
      this.#grantedRequestIdByDigest.set(
        policy.idempotencyKeys.digestOfKey(team, idempotencyKey),
        requestId,
      );
    }
    this.#options.log.info("Claim answered", { requestId, result });
    pending.resolve({ result, status });
  }

  #refuse(pending: PendingClaim): void {
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
      this.#owner.recordOutcome(outcome);
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
