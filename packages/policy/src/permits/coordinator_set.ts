/**
 * The coordinators that one member runs: one for each group whose first member it is.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import * as rendezvous from "../rendezvous.ts";
import * as coordinators from "./coordinator.ts";
import * as groupPlan from "./group_plan.ts";
import type * as groups from "./groups.ts";
import type * as holders from "./holder.ts";

/** What a member knows of the head. */
export interface PermitView {
  readonly members: readonly head.Member[];
  readonly fences: readonly head.Fence[];
  readonly membersRevision: number;
  readonly groups: ReadonlyMap<string, groups.Group>;
}

/** How long a fenced incarnation may go on, from the acceptance of its fence. */
export interface FenceTiming {
  readonly freshForMs: number;
  readonly marginMs: number;
  /** This process's time of a fence's acceptance; null before. */
  readonly acceptedAtMs: (incarnation: string) => number | null;
}

/** A step of a coordinator that people may want to know of. */
export interface CoordinatorEvent {
  readonly kind: "started" | "tookOver" | "endedQuarantine";
  readonly group: string;
  readonly term: number;
  /** Fenced incarnations whose permits still count as in use. */
  readonly quarantined: number;
}

/** Fences that are not accepted yet are looked at in this interval. */
const FENCE_POLL_MS = 500;

/** The least time between two plans of one coordinator. */
const ADVANCE_SPACING_MS = 5;

interface RunningCoordinator {
  readonly coordinator: coordinators.Coordinator;
  maxRunMs: number;
  wakeAtMs: number | null;
  advancedAtMs: number;
  hasTakenOver: boolean;
}

/** Starts, keeps and drops coordinators as the head moves. */
export class CoordinatorSet {
  readonly #incarnation: string;
  readonly #holder: holders.Holder;
  readonly #variant: coordinators.CoordinatorVariant;
  readonly #running = new Map<string, RunningCoordinator>();
  #events: CoordinatorEvent[] = [];
  /** When a quarantined incarnation was first seen without a fence in the head. */
  readonly #fenceDroppedSinceMs = new Map<string, number>();
  #view: PermitView | null = null;
  #rendezvous = new rendezvous.Rendezvous<head.Member>([]);

  constructor(
    incarnation: string,
    options: { holder: holders.Holder; variant?: coordinators.CoordinatorVariant },
  ) {
    this.#incarnation = incarnation;
    this.#holder = options.holder;
    this.#variant = options.variant ?? {};
  }

  /** The coordinator that this member runs for a group. */
  get(group: string): coordinators.Coordinator | undefined {
    return this.#running.get(group)?.coordinator;
  }

  /** The member that coordinates a group by the present list. */
  coordinatorMemberOf(group: string): head.Member | null {
    return this.#rendezvous.rolesOf(group).coordinator;
  }

  /** Takes over a head. */
  setView(view: PermitView): void {
    const isNewList = view.membersRevision !== this.#view?.membersRevision;
    this.#view = view;
    if (isNewList) this.#rendezvous = new rendezvous.Rendezvous(view.members);
    const names = new Set([...view.groups.keys(), ...this.#running.keys()]);
    for (const name of names) this.#updateGroup(name, view);
  }

  #updateGroup(name: string, view: PermitView): void {
    const running = this.#running.get(name);
    if (this.coordinatorMemberOf(name)?.incarnation !== this.#incarnation) {
      this.#running.delete(name);
      return;
    }
    if (running === undefined || !this.#canKeepTerm(running, name)) {
      this.#startCoordinator(name, view);
      return;
    }
    if (!this.#variant.answersOutdatedCoordinators) {
      this.#holder.refuseTermsBelow(name, view.membersRevision);
    }
    this.#applyView(running, name, view);
  }

  /** A coordinator keeps its term while no other can have granted since, and once it has started. */
  #canKeepTerm(running: RunningCoordinator, name: string): boolean {
    const { coordinator } = running;
    if (this.#holder.promisedTermOf(name) > coordinator.term) return false;
    return coordinator.isActive || this.#view?.membersRevision === coordinator.term;
  }

  /** Starts a coordinator in the term of the present list, unless the member promised as much. */
  #startCoordinator(name: string, view: PermitView): void {
    const formerTerm = this.#running.get(name)?.coordinator.term ?? 0;
    const term = view.membersRevision;
    this.#running.delete(name);
    if (term <= formerTerm || term <= this.#holder.promisedTermOf(name)) return;
    const group = view.groups.get(name);
    const planner = group?.service == null
      ? new groupPlan.TeamNeedPlanner()
      : new groupPlan.ServiceNeedPlanner((team) => this.#view?.groups.get(name)?.ruleOf(team));
    const coordinator = new coordinators.Coordinator({
      group: name,
      term,
      incarnation: this.#incarnation,
      planner,
      variant: this.#variant,
    });
    const running = {
      coordinator,
      maxRunMs: 0,
      wakeAtMs: 0,
      advancedAtMs: -Infinity,
      hasTakenOver: false,
    };
    this.#running.set(name, running);
    this.#recordEvent("started", coordinator);
    this.#applyView(running, name, view);
  }

  #applyView(running: RunningCoordinator, name: string, view: PermitView): void {
    const group = view.groups.get(name);
    running.maxRunMs = Math.max(running.maxRunMs, group?.maxRunMs ?? 0);
    running.wakeAtMs = 0;
    running.coordinator.setTotals(group?.totals ?? new Map());
    running.coordinator.setView({
      members: view.members,
      fences: view.fences,
      witness: this.#rendezvous.rolesOf(name).witness?.incarnation ?? null,
    });
  }

  /** Has a group's coordinator advanced soon, as something has come in for it. */
  scheduleAdvance(group: string): void {
    const running = this.#running.get(group);
    if (running === undefined) return;
    const soonMs = running.advancedAtMs + ADVANCE_SPACING_MS;
    running.wakeAtMs = Math.min(running.wakeAtMs ?? Infinity, soonMs);
  }

  /** Starts anew where a member has promised a higher term than that of the running coordinator. */
  restart(group: string): void {
    if (this.#view === null || this.coordinatorMemberOf(group)?.incarnation !== this.#incarnation) {
      return;
    }
    this.#startCoordinator(group, this.#view);
  }

  /** Takes out what has happened since the last call. */
  drainEvents(): readonly CoordinatorEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #recordEvent(kind: CoordinatorEvent["kind"], coordinator: coordinators.Coordinator): void {
    const { group, term, quarantined } = coordinator;
    this.#events.push({ kind, group, term, quarantined: quarantined.size });
  }

  /** When the next coordinator has to be advanced; null for never. */
  wakeAtMs(): number | null {
    let earliest: number | null = null;
    for (const { wakeAtMs } of this.#running.values()) {
      if (wakeAtMs !== null) earliest = Math.min(earliest ?? Infinity, wakeAtMs);
    }
    return earliest;
  }

  /** Advances the coordinators that are due and hands over what they want sent. */
  advance(
    nowMs: number,
    options: {
      timing: FenceTiming;
      onEffects: (coordinator: coordinators.Coordinator, effects: coordinators.Effects) => void;
    },
  ): void {
    for (const running of this.#running.values()) {
      if (running.wakeAtMs === null || running.wakeAtMs > nowMs) continue;
      const fenceWakeAtMs = this.#endQuarantines(running, { nowMs, timing: options.timing });
      if (!running.hasTakenOver && running.coordinator.isActive) {
        running.hasTakenOver = true;
        this.#recordEvent("tookOver", running.coordinator);
      }
      const effects = running.coordinator.advance(nowMs);
      running.advancedAtMs = nowMs;
      running.wakeAtMs = earlier(effects.wakeAtMs, fenceWakeAtMs);
      options.onEffects(running.coordinator, effects);
    }
  }

  /** Ends the quarantines that are over; returns when to look again. */
  #endQuarantines(
    running: RunningCoordinator,
    options: { nowMs: number; timing: FenceTiming },
  ): number | null {
    const { nowMs, timing } = options;
    let wakeAtMs: number | null = null;
    for (const incarnation of [...running.coordinator.quarantined]) {
      const acceptedAtMs = timing.acceptedAtMs(incarnation) ??
        this.#fenceDroppedAtMs(incarnation, nowMs);
      const waitMs = timing.freshForMs + timing.marginMs + running.maxRunMs;
      const endAtMs = acceptedAtMs === null ? nowMs + FENCE_POLL_MS : acceptedAtMs + waitMs;
      if (endAtMs <= nowMs) {
        running.coordinator.endQuarantine(incarnation);
        this.#recordEvent("endedQuarantine", running.coordinator);
      } else wakeAtMs = earlier(wakeAtMs, endAtMs);
    }
    return wakeAtMs;
  }

  /** The head drops old fences; one that was never seen is waited for from now. */
  #fenceDroppedAtMs(incarnation: string, nowMs: number): number | null {
    if (this.#view?.fences.some((fence) => fence.incarnation === incarnation)) return null;
    const sinceMs = this.#fenceDroppedSinceMs.get(incarnation) ?? nowMs;
    this.#fenceDroppedSinceMs.set(incarnation, sinceMs);
    return sinceMs;
  }
}

function earlier(a: number | null, b: number | null): number | null {
  if (a === null) return b;
  return b === null ? a : Math.min(a, b);
}
