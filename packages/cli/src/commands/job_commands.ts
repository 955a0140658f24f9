/**
 * `jackdawlink job submit`, `jackdawlink job status JOB` and `jackdawlink job cancel JOB`
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import * as schema from "@jackdawlink/schema";
import { Command, Option } from "clipanion";
import { err } from "neverthrow";
import * as v from "valibot";
import { type CommandResult, PlainCommand } from "../operator_command.ts";
import { askStewards, type StewardAnswer, type StewardRequest } from "../steward_client.ts";

/** The environment variable for a team's secret, which must not be on the command line. */
export const KEY_VARIABLE = "JACKDAWLINK_KEY";

/**
 * The base class of job commands. They act for a team: they need its key and the caller addresses
 * of stewards, but no settings file.
 */
abstract class JobCommand extends PlainCommand {
  stewards = Option.Array("--steward", {
    required: true,
    description: "The callers' address of a steward; repeatable, tried in this order",
  });

  protected abstract request(): Promise<CommandResult>;

  override async execute(): Promise<number> {
    return this.print(await this.request());
  }

  protected async ask(request: Omit<StewardRequest, "key">): Promise<CommandResult> {
    const key = this.context.env[KEY_VARIABLE];
    if (key === undefined) {
      const message = `${KEY_VARIABLE} holds no key of a team`;
      return err(new schema.errors.InvalidInputError(message));
    }
    const answer = await askStewards(this.stewards, { ...request, key });
    return answer.map((json) => ({ json, lines: [describeJob(json)] }));
  }
}

/** Submits a job and prints it once it is durable. */
export class JobSubmitCommand extends JobCommand {
  static override paths = [["job", "submit"]];
  static override usage = Command.Usage({
    description: "Submit a job; a repeated submission with the same id is the same job",
  });

  jobId = Option.String("--id", { description: "The id of the job; made up without it" });
  cores = Option.String("--cores", { required: true });
  memoryMb = Option.String("--memory-mb", { required: true });
  runMs = Option.String("--run-ms", { required: true, description: "The expected run time" });
  accelerators = Option.String("--accelerators");
  urgency = Option.String("--urgency", { description: "urgent, normal or background" });
  deadlineAtMs = Option.String("--deadline-at-ms", {
    description: "When it must be done, in milliseconds since the Unix epoch",
  });
  maxAttempts = Option.String("--max-attempts");
  repeatable = Option.Boolean("--repeatable", false);

  protected override async request(): Promise<CommandResult> {
    const { jobId = randomUUID(), urgency, repeatable } = this;
    const { cores, memoryMb, runMs, accelerators, deadlineAtMs, maxAttempts } = this;
    const texts = { cores, memoryMb, runMs, accelerators, deadlineAtMs, maxAttempts };
    const numbers = Object.entries(texts)
      .filter(([, text]) => text !== undefined)
      .map(([name, text]) => [name, Number(text)] as const);
    const input = {
      jobId,
      repeatable,
      ...(urgency && { urgency }),
      ...Object.fromEntries(numbers),
    };
    const parsed = v.safeParse(schema.fleet.jobSubmissionSchema, input);
    if (parsed.success) {
      return await this.ask({ method: "POST", path: "/v1/jobs", body: parsed.output });
    }
    const issues = parsed.issues.map((issue) => `${v.getDotPath(issue) ?? ""}: ${issue.message}`);
    return err(new schema.errors.InvalidInputError(`The job is not valid: ${issues.join("; ")}`));
  }
}

/** Prints the state of a job. */
export class JobStatusCommand extends JobCommand {
  static override paths = [["job", "status"]];
  static override usage = Command.Usage({ description: "Print the state of a job" });

  jobId = Option.String({ required: true });

  protected override request(): Promise<CommandResult> {
    return this.ask({ method: "GET", path: pathOf(this.jobId) });
  }
}

/** Cancels a job. */
export class JobCancelCommand extends JobCommand {
  static override paths = [["job", "cancel"]];
  static override usage = Command.Usage({ description: "Cancel a job; a running one is stopped" });

  jobId = Option.String({ required: true });

  protected override request(): Promise<CommandResult> {
    return this.ask({ method: "DELETE", path: pathOf(this.jobId) });
  }
}

function pathOf(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

function describeJob({ jobId, state, attempt, reason }: StewardAnswer): string {
  const suffix = reason === undefined ? "" : `: ${String(reason)}`;
  return `${String(jobId)} is ${String(state)}, attempt ${String(attempt)}${suffix}`;
}
