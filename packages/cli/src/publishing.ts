/**
 * Publishes changes of the configuration.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import type { Session } from "./session.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;
type ConfigRecord = adapters.configRepository.ConfigRecord;

/** A published change. If nothing changed, `changes` is empty and `record` is the previous one. */
export interface PublishResult {
  readonly record: ConfigRecord;
  readonly changes: readonly policy.configDiff.ObjectChange[];
  readonly warnings: readonly policy.findings.Finding[];
}

/** A change to publish. */
export interface ChangeRequest {
  readonly base: ConfigRecord;
  readonly config: schema.config.Config;
  readonly summary: string;
}

/** Computes the new configuration from the newest one. Called again after a conflict. */
export type ConfigEdit = (
  config: schema.config.Config,
) => Result<schema.config.Config, JackdawlinkError>;

/** The most attempts to publish an edit in case of conflicts. */
const MAX_EDIT_ATTEMPTS = 10;

/** Publishes a configuration derived from `base`. */
export async function publish(
  session: Session,
  { base, config, summary }: ChangeRequest,
): Promise<Result<PublishResult, JackdawlinkError>> {
  const changes = policy.configDiff.diffConfigs(base.config, config);
  const warnings = warningsOf(config);
  if (changes.length === 0) return ok({ record: base, changes, warnings });
  const author = session.settings.operator;
  return await session.configRepository.publish({ base, config, author, summary })
    .map((record) => ({ record, changes, warnings }));
}

/**
 * Publishes an edit of the newest configuration; after a conflict the edit is applied again to the
 * newer configuration. The result has only the warnings that the edit introduces.
 */
export async function publishEdit(
  session: Session,
  { summary, edit }: { summary: string; edit: ConfigEdit },
): Promise<Result<PublishResult, JackdawlinkError>> {
  let last: JackdawlinkError | null = null;
  for (let attempt = 1; attempt <= MAX_EDIT_ATTEMPTS; attempt += 1) {
    const base = await session.readConfig();
    if (base.isErr()) return err(base.error);
    const config = edit(base.value.config);
    if (config.isErr()) return err(config.error);
    const published = await publish(session, { base: base.value, config: config.value, summary });
    if (published.isOk() || !(published.error instanceof schema.errors.ConflictError)) {
      return published.map((change) => withNewWarnings(change, base.value.config));
    }
    last = published.error;
  }
  return err(last ?? new schema.errors.ConflictError("Other operators publish too fast"));
}

function warningsOf(config: schema.config.Config): readonly policy.findings.Finding[] {
  return policy.configCheck.checkConfig(config)
    .filter((finding) => !policy.configCheck.isError(finding));
}

function withNewWarnings(published: PublishResult, base: schema.config.Config): PublishResult {
  const known = new Set(warningsOf(base).map(policy.findings.describeFinding));
  const warnings = published.warnings
    .filter((finding) => !known.has(policy.findings.describeFinding(finding)));
  return { ...published, warnings };
}
