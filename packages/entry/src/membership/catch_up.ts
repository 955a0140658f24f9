/**
 * Exchange of heads and configuration chunks between peers, so that a process without the store
 * follows those that have it. Only chunks that the asker does not hold are sent.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";

/** What a {@link CatchUp} is made of. */
export interface CatchUpOptions {
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** The chunks held; shared with what reads them from the store. */
  readonly assembler: policy.configAssembler.ConfigAssembler;
  readonly current: () => ports.members.Snapshot;
  readonly adopt: (snapshot: ports.members.Snapshot) => void;
}

/** One answer carries at most this much chunk text; the asker asks again for the rest. */
const MAX_ANSWER_BYTES = 4_194_304;
/** A question without an answer for this long is put to the next peer that reports more. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Asks peers with a higher revision, and answers those with a lower one. */
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

  /** Asks one peer, unless a question is under way. */
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

  /** As many of the chunks as fit, but at least one. */
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

  /** Keeps the chunks that the head names; false where one does not fit its digest or schema. */
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

  /** An answer without any chunk would be repeated for ever; then the store has to help. */
  #requestRest(answer: schema.peer.CatchUpAnswer, memberId: string): void {
    if (answer.chunks.length > 0) {
      this.request(memberId);
      return;
    }
    this.#logRejection(answer, memberId, "the peer lacks chunks that its head names");
  }

  #logRejection(answer: schema.peer.CatchUpAnswer, memberId: string, reason: string): void {
    this.#options.log.error("Configuration of a peer refused", {
      memberId,
      revision: answer.head.revision,
      keptRevision: this.#options.current().head.revision,
      reason,
    });
  }
}
