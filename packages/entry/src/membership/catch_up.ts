/**
 * Exchange of heads and configuration chunks between peers, so that a process without the store
 * follows those that have it. Only chunks that the asker does not hold are sent.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import type * as schema from "@jackdawlink/schema";

/** What a {@link CatchUp} is made of. */
export interface CatchUpOptions {
  readonly links: ports.peers.PeerLinks;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
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
  /** Chunk texts of the current snapshot and of a newer one that is not whole yet. */
  #texts = new Map<string, string>();
  #textsConfigRevision = -1;
  #askedAtMs = -Infinity;

  constructor(options: CatchUpOptions) {
    this.#options = options;
    options.links.on("catchUpRequest", (request, { memberId }) => this.#answer(request, memberId));
    options.links.on("catchUpAnswer", (answer, { memberId }) => this.#take(answer, memberId));
  }

  /** Asks one peer, unless a question is under way. */
  ask(memberId: string): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#askedAtMs < ANSWER_TIMEOUT_MS) {
      return;
    }
    this.#askedAtMs = nowMs;
    this.#refreshTexts();
    this.#options.links.send(memberId, {
      type: "catchUpRequest",
      revision: this.#options.current().head.revision,
      heldDigests: [...this.#texts.keys()],
    });
  }

  #answer(request: schema.peer.CatchUpRequest, memberId: string): void {
    const { head } = this.#options.current();
    if (head.revision <= request.revision) {
      return;
    }
    this.#refreshTexts();
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
      const text = this.#texts.get(ref.digest);
      if (text !== undefined) {
        chunks.push({ digest: ref.digest, text });
      }
    }
    return chunks;
  }

  #take(answer: schema.peer.CatchUpAnswer, memberId: string): void {
    this.#askedAtMs = -Infinity;
    const { head } = answer;
    if (head.revision <= this.#options.current().head.revision) {
      return;
    }
    this.#refreshTexts();
    if (!this.#keepChunks(answer, memberId)) {
      return;
    }
    const texts = head.chunks.map(({ digest }) => this.#texts.get(digest));
    const whole = texts.filter((text) => text !== undefined);
    if (whole.length < texts.length) {
      this.#askForRest(answer, memberId);
      return;
    }
    policy.configChunks.joinChunks(whole).match(
      (config) => this.#options.adopt({ head, config }),
      (error) => this.#refuse(answer, memberId, error.message),
    );
  }

  /** Keeps chunks whose digests hold; false where one does not. */
  #keepChunks(answer: schema.peer.CatchUpAnswer, memberId: string): boolean {
    for (const { digest, text } of answer.chunks) {
      if (policy.configChunks.digestOf(text) !== digest) {
        this.#refuse(answer, memberId, `chunk ${digest} does not have its digest`);
        return false;
      }
    }
    const named = new Set(answer.head.chunks.map(({ digest }) => digest));
    answer.chunks
      .filter(({ digest }) => named.has(digest))
      .forEach(({ digest, text }) => this.#texts.set(digest, text));
    return true;
  }

  /** An answer without any chunk would be repeated for ever; then the store has to help. */
  #askForRest(answer: schema.peer.CatchUpAnswer, memberId: string): void {
    if (answer.chunks.length > 0) {
      this.ask(memberId);
      return;
    }
    this.#refuse(answer, memberId, "the peer lacks chunks that its head names");
  }

  #refuse(answer: schema.peer.CatchUpAnswer, memberId: string, reason: string): void {
    this.#options.log.error("Configuration of a peer refused", {
      memberId,
      revision: answer.head.revision,
      keptRevision: this.#options.current().head.revision,
      reason,
    });
  }

  /** Splits the current configuration anew after it has changed. */
  #refreshTexts(): void {
    const { head, config } = this.#options.current();
    if (this.#textsConfigRevision === head.configRevision) {
      return;
    }
    this.#textsConfigRevision = head.configRevision;
    const chunks = policy.configChunks.splitConfig(config);
    this.#texts = new Map(chunks.map(({ digest, text }) => [digest, text]));
  }
}
