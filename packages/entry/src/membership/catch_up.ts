/**
 * Exchanges heads and configuration chunks between peers, so that a process that can't reach the
 * store gets the current revision from a peer that can. Only the chunks that the requester lacks
 * are sent.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";

/** Options of a {@link CatchUp}. */
export interface CatchUpOptions {
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Holds the chunks; shared with the reader of the configuration in the store. */
  readonly assembler: policy.configAssembler.ConfigAssembler;
  readonly current: () => ports.members.Snapshot;
  readonly adopt: (snapshot: ports.members.Snapshot) => void;
}

/** The maximum chunk text in one answer; the requester sends another request for the rest. */
const MAX_ANSWER_BYTES = 4_194_304;
/** After this time without an answer, the next peer that reports a higher revision is asked. */
const ANSWER_TIMEOUT_MS = 1_000;

/**
 * Requests the revision of peers that are ahead, and answers the requests of peers that are behind.
 */
export class CatchUp {
  readonly #options: CatchUpOptions;
  #requestedAtMs = -Infinity;

  constructor(options: CatchUpOptions) {
    this.#options = options;
    options.links.on(
      "catchUpRequest",
      (request, { memberId }) => this.#answerRequest(request, memberId),
    );
    options.links.on(
      "catchUpAnswer",
      (answer, { memberId }) => this.#receiveAnswer(answer, memberId),
    );
  }

  /** Sends a request to a peer, unless one is in flight. */
  request(memberId: string): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#requestedAtMs < ANSWER_TIMEOUT_MS) {
      return;
    }
    this.#requestedAtMs = nowMs;
    this.#options.links.send(memberId, {
      type: "catchUpRequest",
      revision: this.#options.current().head.revision,
      heldDigests: this.#options.assembler.heldDigests(),
    });
  }

  #answerRequest(request: schema.peer.CatchUpRequest, memberId: string): void {
    const { head } = this.#options.current();
    if (head.revision <= request.revision) {
      return;
    }
    const held = new Set(request.heldDigests);
    const missing = head.chunks.filter(({ digest }) => !held.has(digest));
    this.#options.links.send(memberId, {
      type: "catchUpAnswer",
      head,
      chunks: this.#chunksWithin(missing, MAX_ANSWER_BYTES),
    });
  }

  /** Returns the first chunks up to the size limit, but at least one. */
  #chunksWithin(
    refs: readonly schema.head.ChunkRef[],
    maxBytes: number,
  ): { digest: string; text: string }[] {
    const chunks: { digest: string; text: string }[] = [];
    let bytes = 0;
    for (const ref of refs) {
      bytes += ref.bytes;
      if (bytes > maxBytes && chunks.length > 0) {
        break;
      }
      const text = this.#options.assembler.textOf(ref.digest);
      if (text !== undefined) {
        chunks.push({ digest: ref.digest, text });
      }
    }
    return chunks;
  }

  #receiveAnswer(answer: schema.peer.CatchUpAnswer, memberId: string): void {
    this.#requestedAtMs = -Infinity;
    const { head } = answer;
    if (head.revision <= this.#options.current().head.revision) {
      return;
    }
    if (!this.#addChunks(answer, memberId)) {
      return;
    }
    if (this.#options.assembler.missing(head.chunks).length > 0) {
      this.#requestRest(answer, memberId);
      return;
    }
    this.#options.assembler.assemble(head.chunks).match(
      (config) => this.#options.adopt({ head, config }),
      (error) => this.#logRejection(answer, memberId, error.message),
    );
  }

  /** Adds the missing chunks. Returns false if one doesn't match its digest or the schema. */
  #addChunks(answer: schema.peer.CatchUpAnswer, memberId: string): boolean {
    const missing = new Set(this.#options.assembler.missing(answer.head.chunks));
    for (const { digest, text } of answer.chunks) {
      if (!missing.has(digest)) {
        continue;
      }
      const added = this.#options.assembler.add(digest, text);
      if (added.isErr()) {
        this.#logRejection(answer, memberId, added.error.message);
        return false;
      }
    }
    return true;
  }

  /**
   * Requests the remaining chunks. After an answer without any chunk there is no further request,
   * as it would loop; the configuration then has to come from the store or another peer.
   */
  #requestRest(answer: schema.peer.CatchUpAnswer, memberId: string): void {
    if (answer.chunks.length > 0) {
      this.request(memberId);
      return;
    }
    this.#logRejection(answer, memberId, "the peer lacks chunks of its own head");
  }

  #logRejection(answer: schema.peer.CatchUpAnswer, memberId: string, reason: string): void {
    this.#options.log.error("Rejected the configuration of a peer", {
      memberId,
      revision: answer.head.revision,
      keptRevision: this.#options.current().head.revision,
      reason,
    });
  }
}
