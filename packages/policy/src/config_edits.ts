/**
 * Edits of single configuration objects, used by the operator commands.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";

type Config = schema.config.Config;
type EditResult = Result<Config, schema.errors.JackdawlinkError>;
type WaveState = schema.config.MaintenanceWave["state"];

/** The configuration has no object of this name. */
export const UnknownObjectError = schema.errors.JackdawlinkError.subclass("UnknownObjectError");
/** The configuration already has an object of this name. */
export const ObjectExistsError = schema.errors.JackdawlinkError.subclass("ObjectExistsError");
/** The current state of the wave doesn't allow the transition. */
export const WaveStateError = schema.errors.JackdawlinkError.subclass("WaveStateError");

/** The state transitions of a wave that operators can request. */
const WAVE_TRANSITIONS = {
  start: { from: "planned", to: "running" },
  pause: { from: "running", to: "paused" },
  resume: { from: "paused", to: "running" },
} as const satisfies Record<string, { from: WaveState; to: WaveState }>;

/** A transition of a wave, by its command. */
export type WaveTransition = keyof typeof WAVE_TRANSITIONS;

/** Adds a key. Fails if the name is taken, even by a withdrawn key. */
export function grantKey(
  config: Config,
  { name, ...key }: Omit<schema.config.Key, "withdrawn"> & { readonly name: string },
): EditResult {
  if (Object.hasOwn(config.keys, name)) return err(objectExistsError("keys", name));
  const keys = { ...config.keys, [name]: { ...key, withdrawn: false } };
  return ok({ ...config, keys });
}

/** Withdraws a key. Its record stays, so that the name is not reused by mistake. */
export function withdrawKey(config: Config, name: string): EditResult {
  const key = config.keys[name];
  if (key === undefined) return err(unknownObjectError("keys", name));
  return ok({ ...config, keys: { ...config.keys, [name]: { ...key, withdrawn: true } } });
}

/** Starts or ends the draining of a backend server. */
export function setDraining(
  config: Config,
  { name, draining }: { readonly name: string; readonly draining: boolean },
): EditResult {
  const server = config.backendServers[name];
  if (server === undefined) return err(unknownObjectError("backendServers", name));
  const backendServers = { ...config.backendServers, [name]: { ...server, draining } };
  return ok({ ...config, backendServers });
}

/** Adds a wave that has not started. */
export function planWave(
  config: Config,
  { name, wave }: { readonly name: string; readonly wave: schema.config.MaintenanceWave },
): EditResult {
  if (Object.hasOwn(config.maintenanceWaves, name)) {
    return err(objectExistsError("maintenanceWaves", name));
  }
  const maintenanceWaves = { ...config.maintenanceWaves, [name]: wave };
  return ok({ ...config, maintenanceWaves });
}

/** Starts, pauses or resumes a wave. */
export function transitionWave(
  config: Config,
  { name, transition }: { readonly name: string; readonly transition: WaveTransition },
): EditResult {
  const wave = config.maintenanceWaves[name];
  if (wave === undefined) return err(unknownObjectError("maintenanceWaves", name));
  const { from, to } = WAVE_TRANSITIONS[transition];
  if (wave.state !== from) {
    const message = `Wave "${name}" is ${wave.state}; ${transition} needs it to be ${from}`;
    return err(new WaveStateError(message));
  }
  const maintenanceWaves = { ...config.maintenanceWaves, [name]: { ...wave, state: to } };
  return ok({ ...config, maintenanceWaves });
}

function unknownObjectError(
  kind: schema.config.ObjectKind,
  name: string,
): schema.errors.JackdawlinkError {
  return new UnknownObjectError(`There is no ${kind} object "${name}"`);
}

function objectExistsError(
  kind: schema.config.ObjectKind,
  name: string,
): schema.errors.JackdawlinkError {
  return new ObjectExistsError(`There is a ${kind} object "${name}" already`);
}
