/**
 * Tracks the resources that each workspace's runs use against its limit, and its job rate against
 * its weight.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import { TokenBucket } from "./token_bucket.ts";
import * as resources from "./resources.ts";

type Resources = schema.scheduling.Resources;

/** The usage of all workspaces; a run counts from its start order until its end is known. */
export class WorkspaceUsage {
  #workspaces = new Map<string, schema.scheduling.Workspace>();
  readonly #used = new Map<string, Resources>();
  readonly #rateBuckets = new Map<string, TokenBucket>();

  setWorkspaces(workspaces: readonly schema.scheduling.Workspace[]): void {
    this.#workspaces = new Map(workspaces.map((workspace) => [workspace.name, workspace]));
  }

  /** The resources that the workspace's runs use. */
  used(workspace: string): Resources {
    return this.#used.get(workspace) ?? resources.NO_RESOURCES;
  }

  /** The workspace's resource limit; zero means unlimited. */
  limit(workspace: string): Resources {
    return this.#workspaces.get(workspace)?.limit ?? resources.NO_RESOURCES;
  }

  /** Adds a run's resources with `factor` 1, and subtracts them with -1. */
  charge(workspace: string, amount: Resources, factor: 1 | -1): void {
    this.#used.set(workspace, resources.add(this.used(workspace), amount, factor));
  }

  /** Whether the workspace has a limit for any resource. */
  isLimited(workspace: string): boolean {
    return !resources.isEqual(this.limit(workspace), resources.NO_RESOURCES);
  }

  /** Whether the workspace's limit leaves room for the amount beside `unseen`, which is not charged. */
  hasCapacity(workspace: string, amount: Resources, unseen = resources.NO_RESOURCES): boolean {
    const used = resources.add(resources.add(this.used(workspace), unseen), amount);
    return resources.isWithinLimit(used, this.limit(workspace));
  }

  /** Counts a job; returns false if the workspace exceeds the job rate that its weight grants. */
  takeRateToken(workspace: string, nowMs: number): boolean {
    const weight = this.#workspaces.get(workspace)?.weight;
    if (weight === undefined) {
      return true;
    }
    const bucket = this.#rateBuckets.get(workspace) ?? new TokenBucket(nowMs);
    this.#rateBuckets.set(workspace, bucket);
    return bucket.take(weight, nowMs);
  }
}
