/**
 * Claims idempotency keys for this entry's callers: sends claims to the owner of the key's shard,
 * and answers the claims of other entries for the shards that this entry owns.
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

/** The interval at which an unanswered claim is resent, as messages get lost and owners change. */
const RETRY_INTERVAL_MS = 250;

/** Options of a {@link ClaimManager}. */
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

/** A claim of this entry that is not answered yet. */
interface PendingClaim {
  readonly request: ClaimRequest;
  readonly deadlineMs: number;
  readonly resolve: (result: ClaimResult) => void;
  stopTimer: () => void;
}

/** Implements the claims port with the platform store and the links to the other entries. */
export class ClaimManager implements ports.claims.Claims {
  readonly #options: ClaimManagerOptions;
  readonly #owner: ShardOwner;
  readonly #pendingByRequestId = new Map<string, PendingClaim>();
  /** The granted requests that have not ended, by the digest of their idempotency key. */
  readonly #grantedRequestIdByDigest = new Map<string, string>();

  #rendezvousMembers: readonly schema.head.Member[] = [];
  #rendezvous = new policy.rendezvous.Rendezvous<schema.head.Member>([]);

  constructor(options: ClaimManagerOptions) {
    this.#options = options;
    this.#owner = new ShardOwner(options);
    this.#registerHandlers();
  }

  /**
   * Sends the claim until it is answered or times out. After a timeout the claim is refused, and an
   * answer that arrives later is ignored.
   */
  claim(keyedRequest: ports.claims.KeyedRequest): Promise<ClaimResult> {
    const request: ClaimRequest = {
      type: "claimRequest",
      requestId: randomUUID(),
      idempotencyKey: keyedRequest.idempotencyKey,
      team: keyedRequest.team,
      fingerprint: keyedRequest.fingerprint,
    };
    return new Promise((resolve) => {
      const pending: PendingClaim = {
        request,
        deadlineMs: this.#options.clock.nowMs() + keyedRequest.timeoutMs,
        resolve,
        stopTimer: () => {},
      };
      this.#pendingByRequestId.set(request.requestId, pending);
      this.#attempt(pending);
    });
  }

  /**
   * Reports the outcome of a granted request to the shard owner. If the report is lost, the key
   * stays recorded as one that may have run.
   */
  finish(
    keyedRequest: Pick<ports.claims.KeyedRequest, "team" | "idempotencyKey">,
    outcome: Pick<ClaimOutcome, "outcome" | "status">,
  ): void {
    const keyDigest = policy.idempotencyKeys.digestOfKey(
      keyedRequest.team,
      keyedRequest.idempotencyKey,
    );
    const requestId = this.#grantedRequestIdByDigest.get(keyDigest);
    if (requestId === undefined) {
      return;
    }
    this.#grantedRequestIdByDigest.delete(keyDigest);
    this.#sendOutcome({ ...keyedRequest, ...outcome, type: "claimOutcome", requestId });
  }

  /** Refuses all pending claims and cancels all timers. */
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
    this.#options.log.warn("Claim timed out or cancelled", { requestId, team });
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
