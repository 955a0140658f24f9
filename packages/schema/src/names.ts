/**
 * Schemas of names, addresses and numbers that the other schemas use.
 *
 * @module
 */
import { isIP } from "node:net";
import * as v from "valibot";

const MAX_PORT = 65_535;

/** The maximum length of an object name. */
export const MAX_NAME_CHARACTERS = 63;

/** The name of an object: lower-case letters, digits and hyphens. It starts with a letter. */
export const nameSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z](?:[a-z0-9-]*[a-z0-9])?$/, "must be lower-case letters, digits and hyphens"),
  v.maxLength(MAX_NAME_CHARACTERS, `must have at most ${MAX_NAME_CHARACTERS} characters`),
);

/** An IP address and port, such as `127.0.0.1:7100` or `[::1]:7100`. */
export const addressSchema = v.pipe(
  v.string(),
  v.regex(
    /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port",
  ),
  v.check(isValidAddress, "must be an IP number and a port up to 65535"),
);

/** An integer greater than zero. */
export const positiveIntegerSchema = v.pipe(v.number(), v.integer(), v.minValue(1));

/** A non-negative integer. */
export const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A duration in milliseconds, greater than zero. */
export const durationMsSchema = positiveIntegerSchema;

/**
 * Splits `host:port` and strips the brackets of IPv6. The address must match {@link addressSchema}.
 */
export function splitAddress(address: string): { host: string; port: number } {
  const separatorIndex = address.lastIndexOf(":");
  const host = address.slice(0, separatorIndex).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(separatorIndex + 1)) };
}

function isValidAddress(address: string): boolean {
  const { host, port } = splitAddress(address);
  return isIP(host) !== 0 && port <= MAX_PORT;
}
