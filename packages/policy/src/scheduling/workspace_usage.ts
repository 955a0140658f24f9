/**
 * What each workspace has running against its limit, and its rate of jobs against its weight.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { TokenBucket } from "./token_bucket.ts";
import * as resources from "./resources.ts";

type Resources = schema.scheduling.Resources;

/** All workspaces; runs count from their order until their end is known. */
export class WorkspaceUsage {
  #workspaces = new Map<string, schema.scheduling.Workspace>();
  readonly #used = new Map<string, Resources>();
  readonly #shares = new Map<string, TokenBucket>();

  setWorkspaces(workspaces: readonly schema.scheduling.Workspace[]): void {
    this.#workspaces = new Map(workspaces.map((workspace) => [workspace.name, workspace]));
  }

  used(workspace: string): Resources {
    return this.#used.get(workspace) ?? resources.NO_RESOURCES;
  }

  /** The most that it may have running; zeros where there is no limit. */
  limit(workspace: string): Resources {
    return this.#workspaces.get(workspace)?.limit ?? resources.NO_RESOURCES;
  }

  /** `factor` is 1 for a run that is ordered, and -1 for one that is over. */
  charge(workspace: string, amount: Resources, factor: 1 | -1): void {
    this.#used.set(workspace, resources.add(this.used(workspace), amount, factor));
  }

  /** Whether it may have so much more running. */
  hasCapacity(workspace: string, amount: Resources): boolean {
    const used = resources.add(this.used(workspace), amount);
    return resources.isWithinLimit(used, this.limit(workspace));
  }

  /** Counts a job; false where the workspace sends more than its weight stands for. */
  takeRateToken(workspace: string, nowMs: number): boolean {
    const weight = this.#workspaces.get(workspace)?.weight;
    if (weight === undefined) {
      return true;
    }
    const share = this.#shares.get(workspace) ?? new TokenBucket(nowMs);
    this.#shares.set(workspace, share);
    return share.take(weight, nowMs);
  }
}
