/**
 * Batches the messages that one member sends in one turn, so that each peer receives few of them.
 *
 * @module
 */
import type { peer } from "@jackdawlink/schema";

type Group<TMessage extends { groups: readonly unknown[] }> = TMessage["groups"][number];

/** A message with its receiver. */
export interface Outgoing {
  readonly memberId: string;
  readonly message: peer.Message;
}

/** The messages of one turn, batched by receiver, type and header fields. */
export class Outbox {
  readonly #messages = new Map<string, peer.Message>();
  readonly #receivers = new Map<string, string>();

  /** Requests a report of the permits that a member holds in a group. */
  requestReport(memberId: string, options: { group: string; term: number }): void {
    const { group, term } = options;
    const message = this.#open<peer.PermitReportRequest>(memberId, {
      type: "permitReportRequest",
      term,
      groups: [],
    });
    message.groups.push(group);
  }

  report(memberId: string, options: { term: number; group: Group<peer.PermitReport> }): void {
    const { term, group } = options;
    this.#open<peer.PermitReport>(memberId, { type: "permitReport", term, groups: [] }).groups.push(
      group,
    );
  }

  grant(
    memberId: string,
    options: { incarnation: string; grant: peer.PermitGrant["grants"][number] },
  ): void {
    const { incarnation, grant } = options;
    this.#open<peer.PermitGrant>(memberId, { type: "permitGrant", incarnation, grants: [] }).grants
      .push(grant);
  }

  demand(memberId: string, group: Group<peer.PermitDemand>): void {
    this.#open<peer.PermitDemand>(memberId, { type: "permitDemand", groups: [] }).groups.push(
      group,
    );
  }

  record(memberId: string, record: peer.WitnessRequest["records"][number]): void {
    this.#open<peer.WitnessRequest>(memberId, { type: "witnessRequest", records: [] }).records.push(
      record,
    );
  }

  recorded(
    memberId: string,
    options: { incarnation: string; recorded: peer.WitnessAnswer["recorded"][number] },
  ): void {
    const { incarnation, recorded } = options;
    const message = this.#open<peer.WitnessAnswer>(memberId, {
      type: "witnessAnswer",
      incarnation,
      recorded: [],
    });
    message.recorded.push(recorded);
  }

  targets(memberId: string, message: peer.TeamTargets): void {
    this.#open(memberId, message);
  }

  /** Returns and clears all messages. */
  drain(): readonly Outgoing[] {
    const drained = [...this.#messages].map(([key, message]) => ({
      memberId: this.#receivers.get(key) ?? "",
      message,
    }));
    this.#messages.clear();
    this.#receivers.clear();
    return drained;
  }

  /**
   * The queued message with the same receiver, type and header fields; queues `message` if none is.
   */
  #open<TMessage extends peer.Message>(memberId: string, message: TMessage): TMessage {
    const key = `${memberId} ${message.type} ${batchKeyOf(message)}`;
    const known = this.#messages.get(key);
    if (known !== undefined) return known as TMessage;
    this.#messages.set(key, message);
    this.#receivers.set(key, memberId);
    return message;
  }
}

function batchKeyOf(message: peer.Message): string {
  const term = "term" in message ? message.term : "";
  const incarnation = "incarnation" in message ? message.incarnation : "";
  const service = "service" in message ? message.service : "";
  return `${term} ${incarnation} ${service}`;
}
