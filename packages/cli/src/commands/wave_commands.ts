/**
 * `jackdawlink wave plan|start|pause|resume NAME`
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { parseCount } from "../number_option.ts";
import { publishEdit, type PublishResult } from "../publishing.ts";
import { PublishingCommand } from "../publishing_command.ts";
import type { Session } from "../session.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;
type MaintenanceWave = schema.config.MaintenanceWave;

/** Adds a wave that is not started yet. */
export class WavePlanCommand extends PublishingCommand {
  static override paths = [["wave", "plan"]];
  static override usage = Command.Usage({
    description: "Plan a reboot of every VM of some pools",
  });

  name = Option.String({ required: true });
  pools = Option.Array("--pool", { required: true, description: "A pool of the wave; repeatable" });
  finishWithinMs = Option.String("--finish-within-ms", {
    description: "The time by which the wave is to be done, in milliseconds after its start",
  });
  drainTimeoutMs = Option.String("--drain-timeout-ms", {
    description: "How long a VM may drain, in milliseconds",
  });

  override async publishChange(session: Session): Promise<Result<PublishResult, JackdawlinkError>> {
    const { name } = this;
    const wave = this.#parseWave();
    if (wave.isErr()) return err(wave.error);
    return await publishEdit(session, {
      summary: `wave plan ${name}`,
      edit: (config) => policy.configEdits.planWave(config, { name, wave: wave.value }),
    });
  }

  #parseWave(): Result<MaintenanceWave, JackdawlinkError> {
    const times = { finishWithinMs: this.finishWithinMs, drainTimeoutMs: this.drainTimeoutMs };
    const input: Record<string, unknown> = { pools: this.pools };
    for (const [field, text] of Object.entries(times)) {
      if (text === undefined) continue;
      const parsed = parseCount(field, text);
      if (parsed.isErr()) return err(parsed.error);
      input[field] = parsed.value;
    }
    const wave = v.safeParse(schema.config.maintenanceWaveSchema, input);
    if (wave.success) return ok(wave.output);
    const issues = wave.issues.map((issue) => `${v.getDotPath(issue) ?? ""}: ${issue.message}`);
    return err(new schema.errors.InvalidInputError(`The wave is not valid: ${issues.join("; ")}`));
  }
}

abstract class WaveTransitionCommand extends PublishingCommand {
  name = Option.String({ required: true });

  protected abstract readonly step: policy.configEdits.WaveTransition;

  override publishChange(session: Session): Promise<Result<PublishResult, JackdawlinkError>> {
    const { name, step } = this;
    return publishEdit(session, {
      summary: `wave ${step} ${name}`,
      edit: (config) => policy.configEdits.transitionWave(config, { name, transition: step }),
    });
  }
}

/** Starts a planned wave. */
export class WaveStartCommand extends WaveTransitionCommand {
  static override paths = [["wave", "start"]];
  static override usage = Command.Usage({ description: "Start a planned wave" });
  protected override readonly step = "start";
}

/** Pauses a running wave, so that it takes no further VMs. */
export class WavePauseCommand extends WaveTransitionCommand {
  static override paths = [["wave", "pause"]];
  static override usage = Command.Usage({ description: "Keep a running wave from further VMs" });
  protected override readonly step = "pause";
}

/** Resumes a paused wave. */
export class WaveResumeCommand extends WaveTransitionCommand {
  static override paths = [["wave", "resume"]];
  static override usage = Command.Usage({ description: "Let a paused wave go on" });
  protected override readonly step = "resume";
}
