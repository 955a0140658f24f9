/**
 * The state machine of one VM of the stand-in platform.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** A VM with its timing and faults. */
export interface VmSetup {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly rack: string;
  /** How long its requests keep running after a drain began; a negative number means forever. */
  readonly drainMs?: number;
  readonly rebootMs?: number;
  /** Extra downtime after a failed reboot; absent if the reboot succeeds. */
  readonly failedForMs?: number;
}

const DEFAULT_DRAIN_MS = 20;
const DEFAULT_REBOOT_MS = 30;
/** Number of running requests on a VM in service. */
const RUNNING_WHILE_LIVE = 4;
/** Number of versions kept; the oldest are dropped first. */
const MAX_VERSIONS = 64;

/** The state of one VM, with earlier versions for lists that lag. */
export class VmModel {
  readonly setup: VmSetup;
  #state: ports.platform.ListedVm["state"] = "live";
  #isLost = false;
  #operationId = "";
  #isReturned = true;
  #hasRebooted = false;
  #drainedAtMs = 0;
  #rebootEndsAtMs = 0;
  #versions: { atMs: number; listed: ports.platform.ListedVm }[] = [];

  constructor(setup: VmSetup) {
    this.setup = setup;
    this.#versions.push({ atMs: 0, listed: this.#listed(RUNNING_WHILE_LIVE) });
  }

  isLive(): boolean {
    return this.#state === "live" && !this.#isLost;
  }

  isDown(): boolean {
    return this.#isLost || this.#state === "down" || this.#state === "rebooting";
  }

  /** The number of requests running on the VM, without tasks. */
  running(nowMs: number): number {
    const drainMs = this.setup.drainMs ?? DEFAULT_DRAIN_MS;
    if (this.isDown() || this.#hasRebooted) {
      return 0;
    }
    const isIdle = this.#state === "leaving" && drainMs >= 0 &&
      nowMs >= this.#drainedAtMs + drainMs;
    return isIdle ? 0 : RUNNING_WHILE_LIVE;
  }

  advance(nowMs: number, tasks: number): void {
    if (this.#state === "rebooting" && nowMs >= this.#rebootEndsAtMs) {
      this.#state = "leaving";
      this.#hasRebooted = true;
    }
    this.#record(nowMs, tasks);
  }

  setDown(isDown: boolean, nowMs: number): void {
    this.#isLost = isDown;
    this.#record(nowMs, 0);
  }

  /** Applies an action; operations that were returned or are older than the latest are rejected. */
  act(
    action: "drain" | "reboot" | "return",
    { operationId, nowMs }: { operationId: string; nowMs: number },
  ): { accepted: boolean; changed: boolean } {
    const isSame = operationId === this.#operationId;
    if (operationId < this.#operationId || (isSame && this.#isReturned && action !== "return")) {
      return { accepted: false, changed: false };
    }
    if (!isSame) {
      this.#operationId = operationId;
      this.#isReturned = false;
      this.#hasRebooted = false;
      this.#state = "leaving";
      this.#drainedAtMs = nowMs;
    }
    const changed = ACTIONS[action](this, nowMs) || (!isSame && action === "drain");
    this.#record(nowMs, 0);
    return { accepted: true, changed };
  }

  /** The listed state of the VM at a time. */
  listedAt(atMs: number): ports.platform.ListedVm {
    const version = this.#versions.findLast((each) => each.atMs <= atMs) ?? this.#versions[0];
    return version?.listed ?? this.#listed(0);
  }

  /** Starts the reboot of the current operation, once. */
  startReboot(nowMs: number): boolean {
    if (this.#hasRebooted || this.#state === "rebooting") {
      return false;
    }
    this.#state = "rebooting";
    const rebootMs = this.setup.rebootMs ?? DEFAULT_REBOOT_MS;
    this.#rebootEndsAtMs = nowMs + rebootMs + (this.setup.failedForMs ?? 0);
    return true;
  }

  /** Ends the current operation. */
  endOperation(): boolean {
    const changed = !this.#isReturned;
    this.#isReturned = true;
    this.#state = this.#state === "rebooting" ? "rebooting" : "live";
    return changed;
  }

  #record(nowMs: number, tasks: number): void {
    const listed = this.#listed(this.running(nowMs) + tasks);
    const latest = this.#versions.at(-1);
    if (JSON.stringify(latest?.listed) === JSON.stringify(listed)) {
      return;
    }
    this.#versions.push({ atMs: nowMs, listed });
    this.#versions = this.#versions.slice(-MAX_VERSIONS);
  }

  #listed(running: number): ports.platform.ListedVm {
    return {
      vm: this.setup.vm,
      availabilityZone: this.setup.availabilityZone,
      rack: this.setup.rack,
      state: this.#isLost ? "down" : this.#state,
      running,
      operationId: this.#operationId,
      rebooted: this.#hasRebooted,
      returned: this.#isReturned,
    };
  }
}

/** The effect of each action besides recording the operation; returns whether the state changed. */
const ACTIONS: Readonly<
  Record<"drain" | "reboot" | "return", (vm: VmModel, nowMs: number) => boolean>
> = {
  drain: () => false,
  reboot: (vm, nowMs) => vm.startReboot(nowMs),
  return: (vm) => vm.endOperation(),
};
