/**
 * Finds the team that a caller's key belongs to.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type * as schema from "@jackdawlink/schema";

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/**
 * The team of the key in an `Authorization` header; undefined if the key is missing, unknown or
 * withdrawn.
 */
export function teamOf(
  authorization: string | undefined,
  config: schema.config.Config,
): string | undefined {
  const secret = BEARER_PATTERN.exec(authorization ?? "")?.[1];
  if (secret === undefined) {
    return undefined;
  }
  const digest = createHash("sha256").update(secret).digest("hex");
  const key = Object.values(config.keys).find((each) => each.secretSha256 === digest);
  return key === undefined || key.withdrawn ? undefined : key.team;
}
