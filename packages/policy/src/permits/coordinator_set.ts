/**
 * The coordinators that one member runs: one for each group whose first member in rendezvous order
 * it is.
 *
 * @module
 */
import type { head } from "@jackdawlink/schema";
import * as rendezvous from "../rendezvous.ts";
import * as coordinators from "./coordinator.ts";
import * as groupPlan from "./group_plan.ts";
import type * as groups from "./groups.ts";
import type * as holders from "./holder.ts";

/** The member list, fences and groups of the head that the member holds. */
export interface PermitView {
  readonly members: readonly head.Member[];
  readonly fences: readonly head.Fence[];
  readonly membersRevision: number;
  readonly groups: ReadonlyMap<string, groups.Group>;
}

/** The times from which the end of a quarantine is computed. */
export interface FenceTiming {
  /** How long a fenced incarnation may still start requests after its fence was accepted. */
  readonly freshForMs: number;
  readonly marginMs: number;
  /** When this process learned that a fence was accepted, on the steady reading; null if it was not. */
  readonly acceptedAtMs: (incarnation: string) => number | null;
}

/** A state change of a coordinator, for the log. */
export interface CoordinatorEvent {
  readonly kind: "started" | "tookOver" | "endedQuarantine";
  readonly group: string;
  readonly term: number;
  /** The number of fenced incarnations whose permits still count as in use. */
  readonly quarantined: number;
}

/** The interval in which fences that are not accepted yet are checked. */
const FENCE_POLL_MS = 500;

/** The minimum time between two plans of one coordinator. */
const ADVANCE_SPACING_MS = 5;

interface RunningCoordinator {
  readonly coordinator: coordinators.Coordinator;
  maxRunMs: number;
  wakeAtMs: number | null;
  advancedAtMs: number;
  hasTakenOver: boolean;
}

/** Starts, updates and stops coordinators as the head changes. */
export class CoordinatorSet {
  readonly #incarnation: string;
  readonly #holder: holders.Holder;
  readonly #variant: coordinators.CoordinatorVariant;
  readonly #running = new Map<string, RunningCoordinator>();
  #events: CoordinatorEvent[] = [];
  /** When the head was first found to have no fence of a quarantined incarnation. */
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

  /** The coordinator that this member runs for a group; undefined if it runs none. */
  get(group: string): coordinators.Coordinator | undefined {
    return this.#running.get(group)?.coordinator;
  }

  /** The member that coordinates a group according to the current member list. */
  coordinatorMemberOf(group: string): head.Member | null {
    return this.#rendezvous.rolesOf(group).coordinator;
  }

  /** Applies a new head: starts and stops coordinators and passes the view to the running ones. */
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

  /**
   * Whether a running coordinator keeps its term: this member has promised no higher term, so that
   * no later coordinator can have made grants, and the coordinator is active or the member list is
   * still that of its term.
   */
  #canKeepTerm(running: RunningCoordinator, name: string): boolean {
    const { coordinator } = running;
    if (this.#holder.promisedTermOf(name) > coordinator.term) return false;
    return coordinator.isActive || this.#view?.membersRevision === coordinator.term;
  }

  /**
   * Starts a coordinator whose term is the revision of the current member list, unless the member
   * has already promised that term or a higher one.
   */
  #startCoordinator(name: string, view: PermitView): void {
    const previousTerm = this.#running.get(name)?.coordinator.term ?? 0;
    const term = view.membersRevision;
    this.#running.delete(name);
    if (term <= previousTerm || term <= this.#holder.promisedTermOf(name)) return;
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

  /** Schedules the next advance of a group's coordinator after it has received a message. */
  scheduleAdvance(group: string): void {
    const running = this.#running.get(group);
    if (running === undefined) return;
    const soonMs = running.advancedAtMs + ADVANCE_SPACING_MS;
    running.wakeAtMs = Math.min(running.wakeAtMs ?? Infinity, soonMs);
  }

  /**
   * Restarts a coordinator in a new term, after a member has promised a term above the present one.
   */
  restart(group: string): void {
    if (this.#view === null || this.coordinatorMemberOf(group)?.incarnation !== this.#incarnation) {
      return;
    }
    this.#startCoordinator(group, this.#view);
  }

  /** Returns and clears the events since the last call. */
  drainEvents(): readonly CoordinatorEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #recordEvent(kind: CoordinatorEvent["kind"], coordinator: coordinators.Coordinator): void {
    const { group, term, quarantined } = coordinator;
    this.#events.push({ kind, group, term, quarantined: quarantined.size });
  }

  /** When the next coordinator has to be advanced; null if none has to. */
  wakeAtMs(): number | null {
    let earliest: number | null = null;
    for (const { wakeAtMs } of this.#running.values()) {
      if (wakeAtMs !== null) earliest = Math.min(earliest ?? Infinity, wakeAtMs);
    }
    return earliest;
  }

  /** Advances the coordinators that are due and passes the messages to send to `onEffects`. */
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

  /** Ends the quarantines whose time is over; returns when to check again, null for never. */
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

  /**
   * The start of the wait for an incarnation without a fence in the head, as old fences are dropped
   * from it: when this was first noticed. Null while the head has the fence.
   */
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
