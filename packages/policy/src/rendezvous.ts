/**
 * Rendezvous hashing (highest random weight): chooses the coordinator and the witness of each
 * resource group from the member list.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { head } from "@jackdawlink/schema";

/** Bytes of the digest that form the score; a number represents 48 bits exactly. */
const SCORE_BYTES = 6;

type RendezvousMember = Pick<head.Member, "memberId" | "availabilityZone">;

/** The members responsible for one resource group. */
export interface GroupRoles<TMember extends RendezvousMember> {
  readonly coordinator: TMember | null;
  /** Null while the coordinator is the only member. */
  readonly witness: TMember | null;
}

/** The rendezvous order of one member list, computed once per key and cached. */
export class Rendezvous<TMember extends RendezvousMember> {
  readonly #members: readonly TMember[];
  readonly #orders = new Map<string, readonly TMember[]>();

  constructor(members: readonly TMember[]) {
    this.#members = members;
  }

  /** All members, highest score first. Removing a member keeps the order of the others. */
  orderOf(key: string): readonly TMember[] {
    const cached = this.#orders.get(key);
    if (cached !== undefined) return cached;
    const scored = this.#members.map((member) => ({ member, score: score(key, member.memberId) }));
    scored.sort((a, b) => b.score - a.score || (a.member.memberId < b.member.memberId ? -1 : 1));
    const order = scored.map((item) => item.member);
    this.#orders.set(key, order);
    return order;
  }

  /**
   * The coordinator is first in the order. The witness is the next member in another availability
   * zone, or else the second in the order. It need not be the next coordinator, since its records
   * reach a new coordinator through reports.
   */
  rolesOf(key: string): GroupRoles<TMember> {
    const [coordinator, ...others] = this.orderOf(key);
    if (coordinator === undefined) return { coordinator: null, witness: null };
    const inOtherZone = others.find((member) =>
      member.availabilityZone !== coordinator.availabilityZone
    );
    return { coordinator, witness: inOtherZone ?? others[0] ?? null };
  }
}

function score(key: string, memberId: string): number {
  const digest = createHash("sha256").update(`${key}\0${memberId}`).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}
